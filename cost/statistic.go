package cost

import (
	"math"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// sampleHalfLife is the age at which a sample of a request counts half. With a request every 10 s, a service has a weight of 87.
	sampleHalfLife = 10 * clock.Minute
	// maxWeight bounds the weight of a statistic, so that it follows a change within about as many samples at any rate of requests.
	maxWeight = 64
	// priorVariance is the variance of logarithms that is assumed before there are samples: a spread of half.
	priorVariance = 0.25
	// priorWeight is the number of samples for which priorVariance counts.
	priorWeight = 2
	// outlierDeviations is the number of standard deviations to which samples are limited.
	outlierDeviations = 2.5
	// minOutlierDeviation is the least standard deviation for that.
	minOutlierDeviation = 0.3
	// highDeviation is the 90th percentile of the normal distribution.
	highDeviation = 1.2816
	// minParentWeight and maxParentWeight bound the number of samples for which the estimate of a more general key counts.
	minParentWeight = 0.3
	maxParentWeight = 16
	// chanceFactor is the multiple of the variance of a key's mean up to which its square distance from the general mean counts as chance.
	chanceFactor = 8
	// firstEventFactorLimit bounds the correction of the predicted time to the first event.
	firstEventFactorLimit = 2.0
	// changeSamples is the number of outliers in a row, all above or all below, from which they are taken for a change. With a tail of 1
	// in 100, chance alone brings one in a million.
	changeSamples = 3
	// changedWeight is the weight of the outliers, which replace the earlier samples after a change.
	changedWeight = 2
)

// statistic is the age-weighted mean and variance of the logarithm of a value. Outliers are limited.
type statistic struct {
	weight   float32
	mean     float32
	variance float32
	// outliers is the number of outliers in a row; it is negative if they are below.
	outliers int32
}

// add adds a value.
func (s *statistic) add(value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	if s.weight == 0 {
		*s = statistic{weight: 1, mean: float32(value), variance: priorVariance}
		return
	}
	difference := s.limit(value - float64(s.mean))
	s.weight = min(s.weight+1, maxWeight)
	step := 1 / float64(s.weight)
	s.mean += float32(step * difference)
	s.variance = float32((1 - step) * (float64(s.variance) + step*difference*difference))
}

// limit bounds the difference of a value from the mean, unless several outliers in a row show a change.
func (s *statistic) limit(difference float64) float64 {
	limit := outlierDeviations * max(s.normal().deviation(), minOutlierDeviation)
	switch {
	case difference > limit:
		s.outliers = max(s.outliers, 0) + 1
	case difference < -limit:
		s.outliers = min(s.outliers, 0) - 1
	default:
		s.outliers = 0
		return difference
	}
	if s.outliers >= changeSamples || s.outliers <= -changeSamples {
		*s = statistic{weight: changedWeight, mean: s.mean + float32(difference), variance: priorVariance}
		return 0
	}
	return clamp(difference, -limit, limit)
}

// agedWeight returns the weight after a time without samples.
func (s *statistic) agedWeight(age clock.Millis) float64 {
	return float64(s.weight * decay(age, sampleHalfLife))
}

// normal returns the distribution of the logarithm.
func (s *statistic) normal() normal {
	w := float64(s.weight)
	return normal{mean: float64(s.mean), variance: (w*float64(s.variance) + priorWeight*priorVariance) / (w + priorWeight)}
}

// normal is a normal distribution.
type normal struct {
	mean     float64
	variance float64
}

func (n normal) deviation() float64 { return math.Sqrt(n.variance) }

// refine returns the estimate of a more specific key with samples of the weight. The general estimate n counts for as many samples as
// the ratio of the variance within the key to that between keys, as in an empirical Bayes estimate.
func (n normal) refine(s *statistic, weight float64) normal {
	own := s.normal()
	if weight == 0 {
		return n
	}
	// A mean that is further from the general one than chance explains shows a variance between keys of its own.
	distance := own.mean - n.mean
	between := max(n.variance-own.variance, distance*distance-chanceFactor*own.variance/weight, own.variance/maxParentWeight)
	parent := clamp(own.variance/between, minParentWeight, maxParentWeight)
	share := weight / (weight + parent)
	return normal{mean: share*own.mean + (1-share)*n.mean, variance: share*own.variance + (1-share)*n.variance}
}

// prediction returns the prediction for values whose logarithm has the distribution.
func (n normal) prediction() Prediction {
	median := math.Exp(n.mean)
	return Prediction{
		Median: median, Mean: median * min(math.Exp(n.variance/2), meanFactorLimit), High: median * math.Exp(highDeviation*n.deviation()),
	}
}

// decay returns the factor for the weight of samples of the age.
func decay(age, halfLife clock.Millis) float32 {
	if age <= 0 {
		return 1
	}
	return float32(math.Exp2(-float64(age) / float64(halfLife)))
}

func clamp(value, low, high float64) float64 { return min(max(value, low), high) }
