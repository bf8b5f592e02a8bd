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

// namePattern excludes "/" and ":" because names occur in table keys and in paths.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// reader reads typed values from a settings file, and collects problems and the keys that the program knows.
type reader struct {
	options
	path     string
	file     *ini.File
	known    map[string][]string
	problems []Problem
}

func newReader(path string, opts []Option) (*reader, error) {
	r := &reader{options: defaults(), path: path, known: map[string][]string{}}
	for _, opt := range opts {
		opt(&r.options)
	}
	data, err := r.readFile(path)
	if err != nil {
		r.problem("", "", "", "give the path of a readable file", "can't read the file: %v", reason(err))
		return nil, r.finish()
	}
	// Duplicate keys are kept, so that they can be rejected. Inline comments are off because secrets in URLs and
	// paths may contain # or ;. The only delimiter is =, since : occurs in addresses.
	r.file, err = ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment: true, IgnoreContinuation: true, KeyValueDelimiters: "=",
		AllowShadows: true, AllowDuplicateShadowValues: true,
	}, data)
	if err != nil {
		// The library's message quotes the line, which may contain a secret.
		r.problem("", "", "", "write [section] and key = value lines; comments have lines of their own",
			"line %d is not valid INI", brokenLine(data))
		return nil, r.finish()
	}
	return r, nil
}

// brokenLine returns the number of the first line that is no section, key or comment, or the last line.
func brokenLine(data []byte) int {
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

// finish rejects unknown sections and keys and returns all problems as one error.
func (r *reader) finish() error {
	if r.file != nil {
		for _, section := range r.file.Sections() {
			r.unknown(section)
		}
	}
	if len(r.problems) == 0 {
		return nil
	}
	return &InvalidError{Path: r.path, Problems: r.problems}
}

func (r *reader) unknown(section *ini.Section) {
	keys, ok := r.known[section.Name()]
	if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
		return
	}
	if !ok {
		names := make([]string, 0, len(r.known))
		for name := range r.known {
			names = append(names, "["+name+"]")
		}
		sort.Strings(names)
		message := "unknown section"
		if section.Name() == ini.DefaultSection {
			message = "keys before the first section"
		}
		r.problem(section.Name(), "", "", "use the sections "+strings.Join(names, ", "), "%s", message)
		return
	}
	for _, key := range section.KeyStrings() {
		if !slices.Contains(keys, key) {
			// The value is left out: it may be a secret under a wrong name.
			r.problem(section.Name(), key, "", "remove it or use one of "+strings.Join(keys, ", "), "unknown key")
		}
	}
}

func (r *reader) problem(section, key, value, remedy, format string, values ...any) {
	r.problems = append(r.problems, Problem{
		Section: section, Key: key, Value: value, Message: fmt.Sprintf(format, values...), Remedy: remedy,
	})
}

// optional returns a value, or the empty string if the key is absent.
func (r *reader) optional(section, key string) string {
	r.known[section] = append(r.known[section], key)
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return ""
	}
	values := s.Key(key).ValueWithShadows()
	if len(values) > 1 {
		r.problem(section, key, "", "keep one of the occurrences", "the key occurs %d times", len(values))
	}
	value := strings.TrimSpace(s.Key(key).Value())
	if value == "" {
		r.problem(section, key, "", "write a value or remove the key", "the value is empty")
	}
	return value
}

// text returns the value of a key that must be present.
func (r *reader) text(section, key, remedy string) string {
	before := len(r.problems)
	value := r.optional(section, key)
	if value == "" && len(r.problems) == before {
		r.problem(section, key, "", remedy, "the key is missing")
	}
	return value
}

func (r *reader) name(section, key, remedy string) string {
	value := r.text(section, key, remedy)
	if value != "" && !namePattern.MatchString(value) {
		r.problem(section, key, value,
			"use 1 to 64 letters, digits, dots, dashes and underscores, starting with a letter or digit", "not an accepted name")
	}
	return value
}

// number returns a whole number from low to high, or fallback if the key is absent.
func (r *reader) number(section, key string, fallback, low, high int64) int64 {
	value := r.optional(section, key)
	if value == "" {
		return fallback
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < low || n > high {
		r.problem(section, key, value, fmt.Sprintf("write a whole number from %d to %d", low, high), "not an accepted number")
		return fallback
	}
	return n
}

// address returns an IP address with a port other than 0, which no other instance could know.
func (r *reader) address(section, key, value string) netip.AddrPort {
	if value == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		r.problem(section, key, value, "write IP:port, for example 127.0.0.1:8080 or [::1]:8080", "not an IP address with a port")
		return netip.AddrPort{}
	}
	return a
}

// url returns the value of a key that must hold an HTTP URL.
func (r *reader) url(section, key string, query bool) string {
	remedy := "write a URL such as http://127.0.0.1:8000"
	value := r.text(section, key, remedy)
	if value == "" {
		return ""
	}
	u, err := url.Parse(value)
	switch {
	case err != nil || u.User != nil:
		// The value is left out, because a URL may contain a password.
		r.problem(section, key, hidden, remedy, "not a URL without user name and password")
	case u.Scheme != "http" && u.Scheme != "https", u.Hostname() == "", u.Fragment != "", u.RawQuery != "" && !query:
		r.problem(section, key, value, remedy, "not an accepted URL")
	}
	return value
}

// secret reads a secret from the file that key names, or from the environment variable.
func (r *reader) secret(section, key, variable string, least int) Secret {
	file := r.optional(section, key)
	value, present := r.environment(variable)
	switch {
	case file != "" && present:
		r.problem(section, key, "", "remove the key or unset the variable", "the secret is also in the environment variable %s", variable)
		return Secret{}
	case file == "" && !present:
		r.problem(section, key, "", "name a file with the secret, or set the environment variable "+variable, "the secret is missing")
		return Secret{}
	case file != "":
		data, err := r.readFile(r.resolve(file))
		if err != nil {
			// The value is left out: it may be the secret itself, written here by mistake.
			r.problem(section, key, hidden, "name a readable file that contains the secret", "can't read the file: %v", reason(err))
			return Secret{}
		}
		value = string(data)
	}
	value = strings.TrimRight(value, "\r\n")
	if len(value) < least || strings.ContainsAny(value, "\r\n\x00") {
		r.problem(section, key, "", fmt.Sprintf("use a secret of at least %d characters on one line", least), "not an accepted secret")
		return Secret{}
	}
	return NewSecret(value)
}

// pair reads two optional file names that only make sense together.
func (r *reader) pair(section, first, second string) (string, string) {
	a, b := r.filePath(section, first), r.filePath(section, second)
	if a == "" && b != "" {
		r.problem(section, first, "", "name the file or remove "+second, "the key is missing, but %s is present", second)
	}
	if a != "" && b == "" {
		r.problem(section, second, "", "name the file or remove "+first, "the key is missing, but %s is present", first)
	}
	return a, b
}

// filePath returns the path of an optional file, which must be readable.
func (r *reader) filePath(section, key string) string {
	value := r.optional(section, key)
	if value == "" {
		return ""
	}
	path := r.resolve(value)
	if _, err := r.readFile(path); err != nil {
		r.problem(section, key, value, "name a readable file", "can't read the file: %v", reason(err))
	}
	return path
}

// resolve interprets a relative path as relative to the settings file.
func (r *reader) resolve(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(r.path), path)
}

// reason returns an error without the path, which the problem's value shows unless it has to stay hidden.
func reason(err error) error {
	var e *fs.PathError
	if errors.As(err, &e) {
		return e.Err
	}
	return err
}
