// Package settings loads and validates the settings of an entry instance.
package settings

import "fmt"

// Settings are the settings of an entry instance.
type Settings struct {
	Instance  Instance
	Listen    Listen
	Advertise Advertise
	Caller    Caller
	Limits    Limits
	Platform  Platform
	Peers     Peers
	TLS       TLS
	Stop      Stop
	Log       Log
}

// Load reads the INI file at path and the files that it refers to. The error is an *InvalidError that lists all
// problems.
func Load(path string, opts ...Option) (*Settings, error) {
	r, err := newReader(path, opts)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	s.Instance.read(r)
	s.Listen.read(r)
	s.Advertise.read(r, s.Listen.Peer)
	s.Caller.read(r)
	s.Limits.read(r)
	s.Platform.read(r)
	s.Peers.read(r)
	s.TLS.read(r)
	s.Stop.read(r)
	s.Log.read(r)
	if err := r.finish(); err != nil {
		return nil, err
	}
	return s, nil
}

// Check returns the error that Load would return.
func Check(path string, opts ...Option) error {
	_, err := Load(path, opts...)
	return err
}

// String returns all settings on one line, with placeholders for the secrets.
func (s *Settings) String() string {
	type plain Settings
	return fmt.Sprintf("%+v", plain(*s))
}
