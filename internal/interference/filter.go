package interference

import "math"

// variable identifies one estimated value of a filter: the load that a run causes itself, or the pressure of a
// pair of images.
type variable struct {
	run  string
	pair Pair
}

// term is one summand of an observed sum: a variable with its weight.
type term struct {
	variable variable
	weight   float64
}

// filter is a Kalman filter for variables that drift and are observed only as weighted sums. An observation
// changes the most uncertain variables most, so a change of the load is not attributed to a neighbour whose
// pressure is well known.
type filter struct {
	index     map[variable]int
	variables []variable
	means     []float64
	// covariance is symmetric, with a row for each variable.
	covariance [][]float64
}

func newFilter() *filter { return &filter{index: map[variable]int{}} }

// has reports whether the filter contains the variable.
func (f *filter) has(q variable) bool {
	_, ok := f.index[q]
	return ok
}

// add adds a variable that is uncorrelated to the others, or resets it if it exists.
func (f *filter) add(q variable, mean, deviation float64) {
	if i, ok := f.index[q]; ok {
		f.reset(i, mean, deviation)
		return
	}
	i := len(f.variables)
	f.index[q] = i
	f.variables = append(f.variables, q)
	f.means = append(f.means, mean)
	for row := range f.covariance {
		f.covariance[row] = append(f.covariance[row], 0)
	}
	f.covariance = append(f.covariance, make([]float64, i+1))
	f.covariance[i][i] = deviation * deviation
}

// reset replaces the estimate of the variable at the index and clears its covariances.
func (f *filter) reset(i int, mean, deviation float64) {
	f.means[i] = mean
	for j := range f.means {
		f.covariance[i][j], f.covariance[j][i] = 0, 0
	}
	f.covariance[i][i] = deviation * deviation
}

// remove removes a variable. The last variable takes its index.
func (f *filter) remove(q variable) {
	i, ok := f.index[q]
	if !ok {
		return
	}
	last := len(f.variables) - 1
	f.variables[i], f.means[i] = f.variables[last], f.means[last]
	f.covariance[i] = f.covariance[last]
	for row := range f.covariance {
		f.covariance[row][i] = f.covariance[row][last]
	}
	f.index[f.variables[i]] = i
	delete(f.index, q)
	f.variables, f.means, f.covariance = f.variables[:last], f.means[:last], f.covariance[:last]
	for row := range f.covariance {
		f.covariance[row] = f.covariance[row][:last]
	}
}

// addDrift adds to the variance of the variable at the index, up to the given standard deviation.
func (f *filter) addDrift(i int, variance, maxDeviation float64) {
	f.covariance[i][i] = min(f.covariance[i][i]+variance, maxDeviation*maxDeviation)
}

// mean returns the expected value of a variable that the filter contains.
func (f *filter) mean(q variable) float64 { return f.means[f.index[q]] }

// deviation returns the standard deviation of a variable that the filter contains.
func (f *filter) deviation(q variable) float64 {
	i := f.index[q]
	return math.Sqrt(max(0, f.covariance[i][i]))
}

// predict returns the expected value of a sum of terms.
func (f *filter) predict(terms []term) float64 {
	sum := 0.0
	for _, t := range terms {
		sum += t.weight * f.mean(t.variable)
	}
	return sum
}

// observe updates the filter after a measurement of the sum of the terms. residual is the measured minus the
// predicted value, and variance that of the measurement.
func (f *filter) observe(terms []term, residual, variance float64) {
	gain := make([]float64, len(f.variables))
	for i := range gain {
		for _, t := range terms {
			gain[i] += t.weight * f.covariance[i][f.index[t.variable]]
		}
	}
	total := variance
	for _, t := range terms {
		total += t.weight * gain[f.index[t.variable]]
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
