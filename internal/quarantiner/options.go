package quarantiner

const (
	// defaultHoldAfter is the number of crashes that make content held. A sound
	// request is beside the cause of two crashes now and then, of three hardly ever.
	defaultHoldAfter = 3
	// defaultMaxRecords bounds the suspected contents, and the tombstones, of a table.
	defaultMaxRecords = 1024
)

type options struct {
	holdAfter  int
	maxRecords int
}

func defaults() options {
	return options{holdAfter: defaultHoldAfter, maxRecords: defaultMaxRecords}
}

// Option changes a setting of a Table.
type Option func(*options)

// WithHoldAfter sets the number of crashes that make content held.
func WithHoldAfter(n int) Option { return func(o *options) { o.holdAfter = n } }

// WithMaxRecords bounds the suspected contents of a table.
func WithMaxRecords(n int) Option { return func(o *options) { o.maxRecords = n } }
