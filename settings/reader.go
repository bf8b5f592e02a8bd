package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// namePattern excludes "/" and ":" because names are used in table keys and paths.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// reader reads typed values from a settings file. It collects the problems and the keys that were asked for.
type reader struct {
	options
	path      string
	file      *ini.File
	knownKeys map[string][]string
	problems  []Problem
}

func newReader(path string, opts []Option) (*reader, error) {
	r := &reader{options: defaultOptions(), path: path, knownKeys: map[string][]string{}}
	for _, opt := range opts {
		opt(&r.options)
	}
	data, err := r.readFile(path)
	if err != nil {
		r.addProblem("", "", "", "give the path of a readable file", "can't read the file: %v", withoutPath(err))
		return nil, r.finish()
	}
	// Shadows keep duplicate keys, so that they can be rejected. Inline comments are disabled because secrets in URLs and
	// paths may contain # or ;. The only delimiter is =, since addresses contain a colon.
	r.file, err = ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment: true, IgnoreContinuation: true, KeyValueDelimiters: "=",
		AllowShadows: true, AllowDuplicateShadowValues: true,
	}, data)
	if err != nil {
		// The library's error message quotes the line, which may contain a secret.
		r.addProblem("", "", "", "write [section] and key = value lines; comments have lines of their own",
			"line %d is not valid INI", firstInvalidLine(data))
		return nil, r.finish()
	}
	return r, nil
}

// firstInvalidLine returns the number of the first line that is neither a section nor a key nor a comment, or that of
// the last line if there is none.
func firstInvalidLine(data []byte) int {
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		line = strings.TrimSpace(line)
		section := strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") && len(line) > 2
		if line != "" && !section && !strings.ContainsAny(line[:1], "#;") && strings.Index(line, "=") < 1 {
			return i + 1
		}
	}
	return len(lines)
}

// finish adds a problem for each unknown section and key, and returns all problems as one error.
func (r *reader) finish() error {
	if r.file != nil {
		for _, section := range r.file.Sections() {
			r.rejectUnknown(section)
		}
	}
	if len(r.problems) == 0 {
		return nil
	}
	return &InvalidError{Path: r.path, Problems: r.problems}
}

func (r *reader) rejectUnknown(section *ini.Section) {
	keys, ok := r.knownKeys[section.Name()]
	if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
		return
	}
	if !ok {
		names := make([]string, 0, len(r.knownKeys))
		for name := range r.knownKeys {
			names = append(names, "["+name+"]")
		}
		sort.Strings(names)
		message := "unknown section"
		if section.Name() == ini.DefaultSection {
			message = "keys before the first section"
		}
		r.addProblem(section.Name(), "", "", "use the sections "+strings.Join(names, ", "), "%s", message)
		return
	}
	for _, key := range section.KeyStrings() {
		if !slices.Contains(keys, key) {
			// The value is omitted, because it may be a secret under a misspelled key.
			r.addProblem(section.Name(), key, "", "remove it or use one of "+strings.Join(keys, ", "), "unknown key")
		}
	}
}

func (r *reader) addProblem(section, key, value, remedy, format string, values ...any) {
	r.problems = append(r.problems, Problem{
		Section: section, Key: key, Value: value, Message: fmt.Sprintf(format, values...), Remedy: remedy,
	})
}

// optional returns the value of a key, or the empty string if the key is absent. A key without a value is a problem.
func (r *reader) optional(section, key string) string {
	r.knownKeys[section] = append(r.knownKeys[section], key)
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return ""
	}
	values := s.Key(key).ValueWithShadows()
	if len(values) > 1 {
		r.addProblem(section, key, "", "keep one of the occurrences", "the key occurs %d times", len(values))
	}
	value := strings.TrimSpace(s.Key(key).Value())
	if value == "" {
		r.addProblem(section, key, "", "write a value or remove the key", "the value is empty")
	}
	return value
}

// required returns the value of a key that must be present; remedy says what to write.
func (r *reader) required(section, key, remedy string) string {
	problemsBefore := len(r.problems)
	value := r.optional(section, key)
	if value == "" && len(r.problems) == problemsBefore {
		r.addProblem(section, key, "", remedy, "the key is missing")
	}
	return value
}

func (r *reader) name(section, key, remedy string) string {
	value := r.required(section, key, remedy)
	if value != "" && !namePattern.MatchString(value) {
		r.addProblem(section, key, value,
			"use 1 to 64 letters, digits, dots, dashes and underscores, starting with a letter or digit", "not an accepted name")
	}
	return value
}

// number returns a whole number from minimum to maximum, or fallback if the key is absent or has another value.
func (r *reader) number(section, key string, fallback, minimum, maximum int64) int64 {
	value := r.optional(section, key)
	if value == "" {
		return fallback
	}
	parsed, err := strconv.ParseInt(value, 10, 64)
	if err != nil || parsed < minimum || parsed > maximum {
		r.addProblem(section, key, value, fmt.Sprintf("write a whole number from %d to %d", minimum, maximum), "not an accepted number")
		return fallback
	}
	return parsed
}

// address parses an IP address with a port. Port 0 is rejected: other instances would not know which port was chosen.
func (r *reader) address(section, key, value string) netip.AddrPort {
	if value == "" {
		return netip.AddrPort{}
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		r.addProblem(section, key, value, "write IP:port, for example 127.0.0.1:8080 or [::1]:8080", "not an IP address with a port")
		return netip.AddrPort{}
	}
	return parsed
}

// url returns the value of a required key, which must be an HTTP or HTTPS URL; a query is accepted only with
// allowQuery.
func (r *reader) url(section, key string, allowQuery bool) string {
	remedy := "write a URL such as http://127.0.0.1:8000"
	value := r.required(section, key, remedy)
	if value == "" {
		return ""
	}
	parsed, err := url.Parse(value)
	switch {
	case err != nil || parsed.User != nil:
		// The value is omitted, because a URL may contain a password.
		r.addProblem(section, key, redacted, remedy, "not a URL without user name and password")
	case parsed.Scheme != "http" && parsed.Scheme != "https", parsed.Hostname() == "", parsed.Fragment != "", parsed.RawQuery != "" && !allowQuery:
		r.addProblem(section, key, value, remedy, "not an accepted URL")
	}
	return value
}

// secret reads a secret from the file that key names, or from the environment variable; exactly one of them must be
// given.
func (r *reader) secret(section, key, variable string, minLength int) Secret {
	file := r.optional(section, key)
	value, present := r.lookupEnv(variable)
	switch {
	case file != "" && present:
		r.addProblem(section, key, "", "remove the key or unset the variable", "the secret is also in the environment variable %s", variable)
		return Secret{}
	case file == "" && !present:
		r.addProblem(section, key, "", "name a file with the secret, or set the environment variable "+variable, "the secret is missing")
		return Secret{}
	case file != "":
		data, err := r.readFile(r.resolve(file))
		if err != nil {
			// The value is omitted, because it may be the secret itself, written here by mistake.
			r.addProblem(section, key, redacted, "name a readable file that contains the secret", "can't read the file: %v", withoutPath(err))
			return Secret{}
		}
		value = string(data)
	}
	value = strings.TrimRight(value, "\r\n")
	if len(value) < minLength || strings.ContainsAny(value, "\r\n\x00") {
		r.addProblem(section, key, "", fmt.Sprintf("use a secret of at least %d characters on one line", minLength), "not an accepted secret")
		return Secret{}
	}
	return NewSecret(value)
}

// filePair reads two optional file names that must be given together.
func (r *reader) filePair(section, first, second string) (string, string) {
	firstPath, secondPath := r.filePath(section, first), r.filePath(section, second)
	if firstPath == "" && secondPath != "" {
		r.addProblem(section, first, "", "name the file or remove "+second, "the key is missing, but %s is present", second)
	}
	if firstPath != "" && secondPath == "" {
		r.addProblem(section, second, "", "name the file or remove "+first, "the key is missing, but %s is present", first)
	}
	return firstPath, secondPath
}

// filePath returns the path of an optional file, or the empty string if the key is absent. The file must be readable.
func (r *reader) filePath(section, key string) string {
	value := r.optional(section, key)
	if value == "" {
		return ""
	}
	path := r.resolve(value)
	if _, err := r.readFile(path); err != nil {
		r.addProblem(section, key, value, "name a readable file", "can't read the file: %v", withoutPath(err))
	}
	return path
}

// resolve returns path relative to the directory of the settings file, unless it is absolute.
func (r *reader) resolve(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(r.path), path)
}

// withoutPath returns err without the path of the file. The problem's value shows the path unless it must stay hidden.
func withoutPath(err error) error {
	var e *fs.PathError
	if errors.As(err, &e) {
		return e.Err
	}
	return err
}
