Feature: Cascades and withdrawal of rejected versions

  Background:
    Given all daemons are linked

  Scenario: A low-quality answer is replaced by a better version's and billed once
    Given client account "studio" has a quality price at which escalation pays off
    When client account "studio" asks with the text "make-it-poor"
    Then the request is answered
    And the answer names version "large@1"
    And the answer has the right text
    And exactly 2 requests ran
    And exactly 1 requests are billed
    And the receipt verifies and its decision is reproduced

  Scenario: A good answer is returned without escalation
    Given client account "studio" has a quality price at which escalation pays off
    When client account "studio" asks with the text "fine as it is"
    Then the request is answered
    And the answer names version "small@1"
    And exactly 1 requests ran

  Scenario: A candidate with falling ratings is withdrawn on every daemon
    Given version "2" of model "small" is under roll-out
    When 40 answers of version "small@2" are rejected
    Then version "small@2" is withdrawn on every daemon
    When client account "studio" asks for "small@2"
    Then the request is refused as "version_withdrawn" with ran "no"

  Scenario: A stable version with falling ratings is not withdrawn
    When 40 answers of version "small@1" are rejected
    And client account "studio" asks for "small@1"
    Then the request is answered
