Feature: A session keeps its version

  Scenario: Every daemon uses the pinned version
    When client account "studio" opens a session
    And client account "studio" continues the session at daemon 2
    Then the request is answered
    And the session keeps its version

  Scenario: A forged token
    When client account "studio" opens a session
    And the session token is forged
    And client account "studio" continues the session at daemon 1
    Then the request is refused as "session_invalid" with ran "no"

  Scenario: Another client account's token
    When client account "studio" opens a session
    And client account "cheap" continues the session at daemon 1
    Then the request is refused as "session_invalid" with ran "no"

  Scenario: The withdrawal of the pinned version ends the session
    When client account "studio" opens a session
    And version "small@1" is withdrawn
    And client account "studio" continues the session at daemon 2
    Then the request is refused as "session_version_withdrawn" with ran "no"
