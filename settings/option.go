package settings

import "os"

// Option changes how settings are loaded.
type Option func(*options)

type options struct {
	readFile    func(path string) ([]byte, error)
	environment func(name string) (string, bool)
}

func defaults() options {
	return options{readFile: os.ReadFile, environment: os.LookupEnv}
}

// WithReadFile replaces the function that reads the settings file and the files it refers to.
func WithReadFile(read func(path string) ([]byte, error)) Option {
	return func(o *options) { o.readFile = read }
}

// WithEnvironment replaces the function that looks up environment variables.
func WithEnvironment(lookup func(name string) (string, bool)) Option {
	return func(o *options) { o.environment = lookup }
}
