package interference

import "math"

// quantity names one value of a filter: the own load of a run, or the pressure of a pair of images.
type quantity struct {
	run  string
	pair Pair
}

// term is one part of an observed sum: a quantity with its weight.
type term struct {
	quantity quantity
	weight   float64
}

// filter is a Kalman filter over quantities that drift and are only seen in weighted sums. An observation
// moves most what is least known, so a change of the load is not blamed on a well-known neighbour.
type filter struct {
	index map[quantity]int
	names []quantity
	means []float64
	// covariance is symmetric, with a row for each quantity.
	covariance [][]float64
}

func newFilter() *filter { return &filter{index: map[quantity]int{}} }

// has reports whether the quantity is known.
func (f *filter) has(q quantity) bool {
	_, ok := f.index[q]
	return ok
}

// add makes a quantity known, uncorrelated to the others.
func (f *filter) add(q quantity, mean, deviation float64) {
	if i, ok := f.index[q]; ok {
		f.reset(i, mean, deviation)
		return
	}
	i := len(f.names)
	f.index[q] = i
	f.names = append(f.names, q)
	f.means = append(f.means, mean)
	for row := range f.covariance {
		f.covariance[row] = append(f.covariance[row], 0)
	}
	f.covariance = append(f.covariance, make([]float64, i+1))
	f.covariance[i][i] = deviation * deviation
}

// reset replaces what is known of the quantity at the index.
func (f *filter) reset(i int, mean, deviation float64) {
	f.means[i] = mean
	for j := range f.means {
		f.covariance[i][j], f.covariance[j][i] = 0, 0
	}
	f.covariance[i][i] = deviation * deviation
}

// remove forgets a quantity. The last one takes its place.
func (f *filter) remove(q quantity) {
	i, ok := f.index[q]
	if !ok {
		return
	}
	last := len(f.names) - 1
	f.names[i], f.means[i] = f.names[last], f.means[last]
	f.covariance[i] = f.covariance[last]
	for row := range f.covariance {
		f.covariance[row][i] = f.covariance[row][last]
	}
	f.index[f.names[i]] = i
	delete(f.index, q)
	f.names, f.means, f.covariance = f.names[:last], f.means[:last], f.covariance[:last]
	for row := range f.covariance {
		f.covariance[row] = f.covariance[row][:last]
	}
}

// drift adds to the uncertainty of the quantity at the index, up to the given deviation.
func (f *filter) drift(i int, variance, maxDeviation float64) {
	f.covariance[i][i] = min(f.covariance[i][i]+variance, maxDeviation*maxDeviation)
}

// mean returns the expected value of a known quantity.
func (f *filter) mean(q quantity) float64 { return f.means[f.index[q]] }

// deviation returns the standard deviation of a known quantity.
func (f *filter) deviation(q quantity) float64 {
	i := f.index[q]
	return math.Sqrt(max(0, f.covariance[i][i]))
}

// predict returns the expected value of a sum of known quantities.
func (f *filter) predict(terms []term) float64 {
	sum := 0.0
	for _, t := range terms {
		sum += t.weight * f.mean(t.quantity)
	}
	return sum
}

// observe takes in that the sum of the terms was seen to differ from the prediction by the residual, with
// the variance of the measurement.
func (f *filter) observe(terms []term, residual, variance float64) {
	gain := make([]float64, len(f.names))
	for i := range gain {
		for _, t := range terms {
			gain[i] += t.weight * f.covariance[i][f.index[t.quantity]]
		}
	}
	total := variance
	for _, t := range terms {
		total += t.weight * gain[f.index[t.quantity]]
	}
	for i := range f.means {
		f.means[i] += gain[i] / total * residual
	}
	for i := range f.covariance {
		for j := range f.covariance[i] {
			f.covariance[i][j] -= gain[i] * gain[j] / total
		}
	}
}
