package routing

// Parameters of the retry budget, in thousandths of a retry.
const (
	// retryShare is what each request earns: 10% of a retry.
	retryShare = 100
	retryCost  = 1000
	// retryInitial lets the first requests after a start be retried.
	retryInitial = 3 * retryCost
	// retryMaximum bounds the burst of retries after a quiet time.
	retryMaximum = 20 * retryCost
)

// RetryBudget limits retries to 10% of the requests.
type RetryBudget struct{ tokens int }

// NewRetryBudget returns a budget with room for a few retries.
func NewRetryBudget() RetryBudget { return RetryBudget{tokens: retryInitial} }

// Request earns the share of one first attempt.
func (b *RetryBudget) Request() { b.tokens = min(retryMaximum, b.tokens+retryShare) }

// Take reports whether a retry is within the budget and counts it.
func (b *RetryBudget) Take() bool {
	if b.tokens < retryCost {
		return false
	}
	b.tokens -= retryCost
	return true
}
