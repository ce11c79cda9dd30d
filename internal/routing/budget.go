package routing

// Parameters of the retry budget, in tokens.
const (
	// tokensPerRequest is what each request adds: 10% of a retry.
	tokensPerRequest = 100
	tokensPerRetry   = 1000
	// initialTokens allows retries of the first requests after a start.
	initialTokens = 3 * tokensPerRetry
	// maxTokens bounds the burst of retries after a period with few retries.
	maxTokens = 20 * tokensPerRetry
)

// RetryBudget limits retries to 10% of the requests, apart from the few that a new budget allows.
type RetryBudget struct{ tokens int }

// NewRetryBudget returns a budget that allows three retries before the first request is counted.
func NewRetryBudget() RetryBudget { return RetryBudget{tokens: initialTokens} }

// AddRequest adds the tokens of one request. It is called once per request, not per attempt.
func (b *RetryBudget) AddRequest() { b.tokens = min(maxTokens, b.tokens+tokensPerRequest) }

// TakeRetry reports whether the budget allows a retry. If it does, the cost of the retry is deducted.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}
