Feature: The platform is out and instances go

  Background:
    Given all daemons are linked

  Scenario: Answers go on while the platform is down, and are billed once after
    When the platform is "down"
    And 5 requests are sent to each daemon at once
    Then all requests are answered
    When the platform is "up"
    Then in the end exactly 10 requests are billed

  Scenario: A daemon that dies during the outage is billed for by its peers
    When the platform is "down"
    And 5 requests are sent to daemon 1 at once
    Then all requests are answered
    When daemon 1 dies
    And the platform is "up"
    Then in the end exactly 5 requests are billed

  Scenario: The platform answers slowly
    When the platform is "slow"
    And 5 requests are sent to each daemon at once
    Then all requests are answered
    And in the end exactly 10 requests are billed

  Scenario: The platform does everything and says nothing
    When the platform is "lose_replies"
    And 5 requests are sent to each daemon at once
    Then all requests are answered
    When the platform is "up"
    Then in the end exactly 10 requests are billed

  Scenario: A daemon starts while the platform is down
    When the platform is "down"
    And daemon 3 starts and knows daemon 1
    Then daemon 3 has revision 1 in force
    When client account "studio" asks daemon 3 for "auto"
    Then the request is answered
    When the platform is "up"
    Then in the end exactly 1 requests are billed

  Scenario: A change reaches a daemon that the platform can't reach
    Given daemon 2 is cut off from the platform
    When version "small@2" is withdrawn without waiting
    Then revision 2 is in force on every daemon

  Scenario: A request that crashes endpoints is refused everywhere
    Given engine 1 is crashed by the text "deadly"
    And engine 2 is crashed by the text "deadly"
    When client account "studio" asks with the text "deadly"
    Then the request is refused as "endpoint_failed" with ran "unknown"
    And every daemon refuses the text "deadly" as "poison_request"
