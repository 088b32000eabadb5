package azurehitch

// HedgeShare is the number of hedged requests that operators allow for each request of a service. The zero
// value is a share that is not set.
type HedgeShare struct {
	IsSet bool
	// Share is from 0 to 1; 0 allows no hedges.
	Share float64
	// IsInvalid is true if the share was not a number from 0 to 1. It allows no hedges.
	IsInvalid bool
}

// NewHedgeShare returns a share that is set. Anything but a number from 0 to 1 allows no hedges.
func NewHedgeShare(share float64) HedgeShare {
	if !(share >= 0 && share <= 1) {
		return HedgeShare{IsSet: true, IsInvalid: true}
	}
	return HedgeShare{IsSet: true, Share: share}
}

// Smaller returns the smaller one of two shares that are set, or the one that is set.
func (s HedgeShare) Smaller(other HedgeShare) HedgeShare {
	if !s.IsSet || other.IsSet && other.Share < s.Share {
		return other
	}
	return s
}
