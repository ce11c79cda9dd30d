package experiment

// Choice says who decides.
type Choice uint8

// Choices.
const (
	Product Choice = iota
	Random
	LeastOutstanding
	FirstFit
)

// Throttling says what happens beside a service that misses its latency objective.
type Throttling uint8

// Kinds of throttling.
const (
	ThrottleFirst Throttling = iota
	NoThrottling
	// EvictFirst evicts batch tasks at once instead of throttling them.
	EvictFirst
)

// Variant is one way to decide.
type Variant struct {
	Name           string
	Requests       Choice
	Placement      Choice
	Throttling     Throttling
	NoInterference bool
	NoFeedback     bool
	NoEjection     bool
}

// Names of the variants that the report refers to.
const (
	NameProduct    = "product"
	NameRandom     = "random+first-fit"
	NameLeast      = "least-outstanding+first-fit"
	NameEvictFirst = "evict-first"
)

// Compared lists the product, the baselines and the variant against which evictions are compared.
var Compared = []Variant{
	{Name: NameProduct},
	{Name: NameRandom, Requests: Random, Placement: FirstFit, Throttling: NoThrottling},
	{Name: NameLeast, Requests: LeastOutstanding, Placement: FirstFit, Throttling: NoThrottling},
	{Name: NameEvictFirst, Throttling: EvictFirst},
}

// Parts lists the product with one part switched off or replaced by its plain counterpart.
var Parts = []Variant{
	{Name: "no-throttle", Throttling: NoThrottling},
	{Name: "no-interference", NoInterference: true},
	{Name: "no-latency-feedback", NoFeedback: true},
	noEjection,
	{Name: "least-outstanding", Requests: LeastOutstanding},
	{Name: "first-fit", Placement: FirstFit},
}

var noEjection = Variant{Name: "no-ejection", NoEjection: true}
