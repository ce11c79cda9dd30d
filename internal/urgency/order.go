package urgency

import (
	"cmp"

	"github.com/pkg/errors"
)

// Order is a rule by which jobs of the same priority are put in order.
type Order uint8

const (
	// ByLevel puts the jobs of a more useful level first, and of one level those with the least work.
	ByLevel Order = iota
	// ByCost puts the job first whose delay costs its caller most for each second of processor time that it needs.
	ByCost
)

// errUnknownOrder reports a name that is no Order's.
var errUnknownOrder = errors.New("urgency: the order is neither level nor cost")

// The value of the end of a job to its caller, by level, relative to an end in time. Each time that the objective is
// missed by LateFactor, the same share is lost.
const (
	inTimeValue  = 1.0
	lateValue    = inTimeValue / LateFactor
	overdueValue = lateValue / LateFactor
)

// Value returns the value of the end of a job of the level to its caller, relative to an end in time.
func (l Level) Value() float64 {
	switch l {
	case InTime:
		return inTimeValue
	case Late:
		return lateValue
	default:
		return overdueValue
	}
}

// Compare returns a negative number if the first rank comes before the other, and a positive one if it comes after it.
func (o Order) Compare(x, y Rank) int {
	if o == ByLevel {
		return x.Compare(y)
	}
	return cmp.Or(
		cmp.Compare(x.Priority, y.Priority),
		compareBool(x.Deferred, y.Deferred),
		cmp.Compare(x.WorkPerValue(), y.WorkPerValue()),
		cmp.Compare(x.Level, y.Level),
	)
}

// compareBool puts false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// WorkPerValue returns the inverse of the cost of delay: the processor time that the job needs for each unit of value
// that its caller gets. It is finite for a job without work.
func (r Rank) WorkPerValue() float64 { return float64(r.Work) / r.Level.Value() }

// String returns the name of the order.
func (o Order) String() string {
	if o == ByCost {
		return "cost"
	}
	return "level"
}

// UnmarshalText sets the order by its name.
func (o *Order) UnmarshalText(text []byte) error {
	for _, known := range []Order{ByLevel, ByCost} {
		if string(text) == known.String() {
			*o = known
			return nil
		}
	}
	return errors.Wrapf(errUnknownOrder, "%q", text)
}
