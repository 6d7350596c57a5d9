Feature: Operators change the configuration and replace instances

  Scenario: Two operators publish from the same revision
    When two operators change the configuration from the same revision
    Then the second operator is shown the first one's change
    And revision 2 is in force on every daemon

  Scenario: A store restored from an older state returns to the latest revision
    When version "small@2" is withdrawn
    Then revision 2 is in force on every daemon
    When the platform is restored from revision 1
    Then the platform holds revision 2 again
    And revision 2 is in force on every daemon

  Scenario: An endpoint that is leaving receives no new requests
    When engine 1 reports that it is leaving
    And 10 requests are sent to each daemon at once
    Then all requests are answered
    And engine 1 has received no new requests

  Scenario: A graceful shutdown interrupts no stream
    When daemon 1 is shut down while a stream is in progress
    Then the stream is whole and has the right text
    And exactly 1 requests are billed
