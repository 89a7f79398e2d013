package dispatcher

import "time"

const (
	defaultReattachTimeout    = 6 * time.Second
	defaultMaxReattachments   = 8
	defaultMaxCrashedReplicas = 2
)

type options struct {
	reattachTimeout    time.Duration
	maxReattachments   int
	maxCrashedReplicas int
}

func defaults() options {
	return options{reattachTimeout: defaultReattachTimeout, maxReattachments: defaultMaxReattachments, maxCrashedReplicas: defaultMaxCrashedReplicas}
}

// Option changes a setting of a Machine.
type Option func(*options)

// WithReattachTimeout sets how long the machine tries to reattach to an attempt
// after a connection loss before it gives the attempt up.
func WithReattachTimeout(d time.Duration) Option {
	return func(o *options) { o.reattachTimeout = d }
}

// WithMaxCrashedReplicas sets after how many crashed replicas a request is held.
func WithMaxCrashedReplicas(n int) Option { return func(o *options) { o.maxCrashedReplicas = n } }
