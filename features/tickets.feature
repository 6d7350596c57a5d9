Feature: A ticket permits one run, also without the platform

  Scenario: A ticket is spent once
    When client account "studio" fetches a ticket from daemon 1
    And the ticket is spent at daemon 1
    Then the request is answered
    When the ticket is spent at daemon 1
    Then the request is refused as "already_answered" with ran "yes"
    And exactly 1 requests ran

  Scenario: A ticket works while the platform is down
    Given all daemons are linked
    When client account "studio" fetches a ticket from daemon 1
    And the platform is "down"
    And the ticket is spent at daemon 1
    Then the request is answered
    When the platform is "up"
    Then eventually exactly 1 requests are billed

  Scenario: A ticket can't be spent at another daemon
    When client account "studio" fetches a ticket from daemon 1
    And the ticket is spent at daemon 2
    Then the request is refused as "ticket_foreign" with ran "unknown"
    And exactly 0 requests ran

  Scenario: Another client account's ticket
    When client account "cheap" fetches a ticket from daemon 1
    And the ticket is spent at daemon 1
    Then the request is refused as "ticket_invalid" with ran "unknown"
    And exactly 0 requests ran
