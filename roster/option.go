package roster

import "time"

// Option configures a Roster.
type Option func(*Roster)

// WithEndpoint sets the URL of the service that has the list.
func WithEndpoint(url string) Option { return func(r *Roster) { r.endpoint = url } }

// WithToken sets the bearer token that requests carry; the default is none.
func WithToken(token string) Option { return func(r *Roster) { r.token = token } }

// WithTimeout sets the time limit of each call; the default is two seconds.
func WithTimeout(d time.Duration) Option { return func(r *Roster) { r.timeout = d } }
