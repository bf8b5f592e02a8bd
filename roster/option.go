package roster

import "time"

// Option configures a Roster.
type Option func(*Roster)

// WithEndpoint sets the base URL of the API that serves the instance list.
func WithEndpoint(url string) Option { return func(r *Roster) { r.endpoint = url } }

// WithToken sets the bearer token of requests; the default is none.
func WithToken(token string) Option { return func(r *Roster) { r.token = token } }

// WithTimeout sets the timeout of each read of the list; the default is 2 s.
func WithTimeout(d time.Duration) Option { return func(r *Roster) { r.timeout = d } }

// WithWatchTimeout sets the timeout of a watch in whole seconds; the default is 30 s.
func WithWatchTimeout(d time.Duration) Option { return func(r *Roster) { r.watchTimeout = d } }

// WithMaxReadInterval sets the longest time between two reads of the whole list; the default is 5 min.
func WithMaxReadInterval(d time.Duration) Option { return func(r *Roster) { r.maxReadInterval = d } }
