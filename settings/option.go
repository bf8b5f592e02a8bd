package settings

import "os"

// Option configures Load and Check.
type Option func(*options)

type options struct {
	readFile  func(path string) ([]byte, error)
	lookupEnv func(name string) (string, bool)
}

func defaultOptions() options {
	return options{readFile: os.ReadFile, lookupEnv: os.LookupEnv}
}

// WithReadFile replaces os.ReadFile as the function that reads the settings file and the files it refers to.
func WithReadFile(read func(path string) ([]byte, error)) Option {
	return func(o *options) { o.readFile = read }
}

// WithEnvironment replaces os.LookupEnv as the function that looks up environment variables.
func WithEnvironment(lookup func(name string) (string, bool)) Option {
	return func(o *options) { o.lookupEnv = lookup }
}
