Feature: Refusals are correct and explained

  Scenario: A model that the client account may not use
    When client account "cheap" asks for "large"
    Then the request is refused as "model_not_allowed" with ran "no"
    And the explanation names node "firm/cheap"
    And the receipt verifies and its decision is reproduced
    And exactly 0 requests ran

  Scenario Outline: Each kind of invalid input has its own problem kind
    When client account "<account>" sends the body "<body>"
    Then the request is refused as "<kind>" with ran "no"
    And exactly 0 requests ran

    Examples:
      | account | body              | kind               |
      | studio  | {"messages":      | malformed_json     |
      | studio  | {"messages": 7}   | invalid_request    |
      | studio  | [1, 2]            | invalid_request    |
      | nobody  | {"messages": [{"role": "user", "content": "x"}]} | unknown_credential |

  Scenario: No credential
    When a request is sent without a credential
    Then the request is refused as "missing_credential" with ran "no"

  Scenario: A model that is not declared
    When client account "studio" asks for "unheard-of"
    Then the request is refused as "unknown_model" with ran "no"

  Scenario: A client account above its rate limit
    When client account "limited" asks for "small"
    And client account "limited" asks for "small"
    Then the request is refused as "rate_limited" with ran "no"
    And the explanation names node "firm/limited"

  Scenario: A withdrawn version
    Given version "large@1" is withdrawn
    When client account "studio" asks for "large@1"
    Then the request is refused as "version_withdrawn" with ran "no"
    And exactly 0 requests ran

  Scenario Outline: A refused request with an idempotency key may have run before
    When client account "<account>" sends the body "<body>" with an idempotency key
    Then the request is refused as "<kind>" with ran "unknown"

    Examples:
      | account | body                                             | kind               |
      | studio  | {"messages":                                     | malformed_json     |
      | nobody  | {"messages": [{"role": "user", "content": "x"}]} | unknown_credential |
