Feature: A request that is not idempotent runs at most once

  Scenario: Resubmitted to another daemon after it was answered
    When order "a1" is sent to daemon 1
    Then the request is answered
    When order "a1" is sent to daemon 2
    Then the request is refused as "already_answered" with ran "yes"
    And exactly 1 requests ran
    And exactly 1 requests are billed

  Scenario: Resubmitted after the service's reply was lost
    Given the plain service loses its reply to the next order
    When order "a2" is sent to daemon 1
    Then the request is refused as "endpoint_failed" with ran "unknown"
    When order "a2" is sent to daemon 2
    Then the request is refused as "already_claimed" with ran "unknown"
    And exactly 1 requests ran

  Scenario: The platform is down
    Given the platform is "down"
    When order "a3" is sent to daemon 1
    Then the request is refused as "platform_unavailable" with ran "unknown"
    And exactly 0 requests ran

  Scenario: The platform's replies are lost after its writes
    Given the platform is "lose_replies"
    When order "a4" is sent to daemon 1
    Then the request is answered
    And exactly 1 requests ran
    And exactly 1 requests are billed
