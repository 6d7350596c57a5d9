Feature: Cascades and bad versions

  Background:
    Given all daemons are linked

  Scenario: A poor answer is replaced by a better version's, and billed once
    Given client account "studio" pays well for quality
    When client account "studio" asks with the text "make-it-poor"
    Then the request is answered
    And the answer names version "large@1"
    And the answer has the right text
    And exactly 2 requests ran
    And exactly 1 requests are billed
    And the receipt verifies and its decision comes out the same

  Scenario: A good answer is given as it is
    Given client account "studio" pays well for quality
    When client account "studio" asks with the text "fine as it is"
    Then the request is answered
    And the answer names version "small@1"
    And exactly 1 requests ran

  Scenario: A candidate whose ratings fall is pulled and withdrawn for all
    Given version "2" of model "small" is under roll-out
    When 40 answers of version "small@2" are rejected
    Then version "small@2" is withdrawn on every daemon
    When client account "studio" asks for "small@2"
    Then the request is refused as "version_withdrawn" with ran "no"

  Scenario: A stable version is not pulled
    When 40 answers of version "small@1" are rejected
    And client account "studio" asks for "small@1"
    Then the request is answered
