package dispatcher

import "time"

const (
	defaultAttachFor = 6 * time.Second
	defaultAttaches  = 8
	defaultCrashes   = 2
)

type options struct {
	attachFor time.Duration
	attaches  int
	crashes   int
}

func defaults() options {
	return options{attachFor: defaultAttachFor, attaches: defaultAttaches, crashes: defaultCrashes}
}

// Option changes a setting of a Machine.
type Option func(*options)

// WithReattachTimeout sets how long a lost attempt is looked for before the request
// goes on without it.
func WithReattachTimeout(d time.Duration) Option { return func(o *options) { o.attachFor = d } }

// WithMaxCrashedReplicas sets after how many crashed replicas a request is held.
func WithMaxCrashedReplicas(n int) Option { return func(o *options) { o.crashes = n } }
