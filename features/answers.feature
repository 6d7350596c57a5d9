Feature: Answers are complete, correct and billed once

  Scenario: A complete answer is billed once and keeps its non-ASCII characters
    When client account "studio" asks with the text "Kalendārs, šūtas lapas إنّا لله"
    Then the request is answered
    And the answer has the right text
    And exactly 1 requests are billed

  Scenario: A stream is billed once and ends with its end marker
    When client account "studio" asks for a stream with the text "a text of some length"
    Then the request is answered
    And the stream is whole and has the right text
    And exactly 1 requests are billed

  Scenario: Many requests at two daemons
    When 20 requests are sent to each daemon at once
    Then all requests are answered
    And exactly 40 requests are billed

  Scenario Outline: An engine's invalid answer is never forwarded
    Given every engine injects the fault "<fault>" 1 times
    When client account "studio" asks with the text "twelve proofs by noon"
    Then the request is refused as "<kind>" with ran "<ran>"
    And exactly 0 requests are billed

    Examples:
      | fault         | kind                    | ran     |
      | crossed       | endpoint_answer_invalid | unknown |
      | wrong_version | endpoint_answer_invalid | yes     |

  Scenario: An engine's invalid answer is replaced by another engine's
    Given every engine injects the fault "none" 1 times
    And engine 1 injects the fault "crossed" 5 times
    When 10 requests are sent to each daemon at once
    Then all requests are answered
    And exactly 20 requests are billed

  Scenario: An interrupted stream is resumed where it stopped
    Given every engine injects the fault "cut" 1 times
    When client account "studio" asks for a stream with the text "cut once, then whole"
    Then the stream is whole and has the right text
    And exactly 1 requests are billed

  Scenario: A connection that goes silent is replaced by a new one
    Given every engine injects the fault "silent" 1 times
    When client account "studio" asks with the text "silence"
    Then the request is answered
    And the answer has the right text
    And exactly 1 requests are billed

  Scenario: An answer is explained by its receipt
    When client account "studio" asks for "auto"
    Then the receipt verifies and its decision is reproduced
    And a receipt with one character changed does not verify
