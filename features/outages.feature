Feature: Platform outages and lost instances

  Background:
    Given all daemons are linked

  Scenario: Requests are answered during a platform outage and billed once after it
    When the platform is "down"
    And 5 requests are sent to each daemon at once
    Then all requests are answered
    When the platform is "up"
    Then eventually exactly 10 requests are billed

  Scenario: Peers write the bills of a daemon that crashes during the outage
    When the platform is "down"
    And 5 requests are sent to daemon 1 at once
    Then all requests are answered
    When daemon 1 crashes
    And the platform is "up"
    Then eventually exactly 5 requests are billed

  Scenario: The platform answers slowly
    When the platform is "slow"
    And 5 requests are sent to each daemon at once
    Then all requests are answered
    And eventually exactly 10 requests are billed

  Scenario: The platform executes every write but loses every reply
    When the platform is "lose_replies"
    And 5 requests are sent to each daemon at once
    Then all requests are answered
    When the platform is "up"
    Then eventually exactly 10 requests are billed

  Scenario: A daemon starts while the platform is down
    When the platform is "down"
    And daemon 3 starts with daemon 1 as its seed peer
    Then daemon 3 has revision 1 in force
    When client account "studio" asks daemon 3 for "auto"
    Then the request is answered
    When the platform is "up"
    Then eventually exactly 1 requests are billed

  Scenario: A change reaches a daemon that can't reach the platform
    Given daemon 2 is cut off from the platform
    When version "small@2" is withdrawn without waiting
    Then revision 2 is in force on every daemon

  Scenario: A request that crashes endpoints is refused everywhere
    Given engine 1 is crashed by the text "deadly"
    And engine 2 is crashed by the text "deadly"
    When client account "studio" asks with the text "deadly"
    Then the request is refused as "endpoint_failed" with ran "unknown"
    And every daemon refuses the text "deadly" as "poison_request"
