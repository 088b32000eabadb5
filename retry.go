package azurehitch

// RetryCharge is a retry that was charged to a retry budget. It counts from its charge on, and for a window after
// it was sent.
type RetryCharge interface {
	// Sent records that the retry is sent now.
	Sent()
	// Refund takes the charge back, unless the retry was sent.
	Refund()
}
