Feature: Operators change the configuration and replace instances

  Scenario: Two operators race
    When two operators change the configuration from the same revision
    Then the second operator is shown the first one's change
    And revision 2 is in force on every daemon

  Scenario: A store that was restored from an older state is brought forward
    When version "small@2" is withdrawn
    Then revision 2 is in force on every daemon
    When the platform is restored from revision 1
    Then the platform holds revision 2 again
    And revision 2 is in force on every daemon

  Scenario: An endpoint that is leaving gets nothing new
    When engine 1 says that it is leaving
    And 10 requests are sent to each daemon at once
    Then all requests are answered
    And engine 1 has received nothing new

  Scenario: A graceful shutdown cuts no stream
    When daemon 1 is shut down while a stream is under way
    Then the stream is whole and has the right text
    And exactly 1 requests are billed
