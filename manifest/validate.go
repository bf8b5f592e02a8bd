package manifest

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// maxTimeout is the maximum of all timeouts. It is limited because a graceful shutdown may last as long as the
	// longest timeout.
	maxTimeout = 24 * clock.Hour
	// maxWeight is low enough that sums and products of weights and token costs fit into 64 bits.
	maxWeight = 1_000_000
	// maxTokens is low enough that sums of token counts fit into 64 bits.
	maxTokens = 1_000_000_000_000
	// maxCount is the maximum of counts of requests, engines and loads.
	maxCount = 1_000_000
)

var (
	// namePattern excludes "/" because names are used in table keys and URL paths, and ":" because it separates model and
	// adapter.
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	keyHashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Validate checks the values of a manifest. The error is an *InvalidError that lists every problem.
func (m *Manifest) Validate() error {
	v := &validator{manifest: m, firstKeyPath: map[string]string{}}
	v.checkGeneral()
	v.checkModels()
	v.checkServices()
	v.checkCustomers()
	return v.err()
}

// validator validates one manifest and collects its problems.
type validator struct {
	problems
	manifest *Manifest
	// firstKeyPath maps each key hash to the path of its first occurrence.
	firstKeyPath map[string]string
}

func (v *validator) checkGeneral() {
	m := v.manifest
	v.name("service", m.Service)
	if m.FinalDate == "" {
		v.add("final-date", "name the last day of service, for example 2027-06-30-04:00", "the final date is missing")
	} else if _, err := m.FinalDate.End(); err != nil {
		v.add("final-date", "write YYYY-MM-DD with an optional offset from UTC such as -04:00", "%v", err)
	}
	checkRange(v, "limits.default-timeout-ms", m.Limits.DefaultTimeout, 1, maxTimeout)
	checkRange(v, "limits.max-timeout-ms", m.Limits.MaxTimeout, 1, maxTimeout)
	if m.Limits.DefaultTimeout > m.Limits.MaxTimeout {
		v.add("limits.default-timeout-ms", "lower it or raise limits.max-timeout-ms",
			"the default time limit %d exceeds the longest one, %d", m.Limits.DefaultTimeout, m.Limits.MaxTimeout)
	}
	checkRange(v, "limits.max-prompt-tokens", m.Limits.MaxPromptTokens, 1, maxTokens)
	checkRange(v, "engines.memory-tokens", m.Engines.MemoryTokens, 1, maxTokens)
	checkRange(v, "engines.prefill-tokens-per-second", m.Engines.PrefillTokensPerSecond, 1, maxTokens)
	checkRange(v, "engines.max-concurrent-loads", m.Engines.MaxConcurrentLoads, 1, maxCount)
}

func (v *validator) checkModels() {
	m := v.manifest
	if len(m.Models) == 0 {
		v.add("models", "list the models that the deployment serves", "there is no model")
	}
	var longestContext poplarwinch.Tokens
	seen := map[string]bool{}
	for i, model := range m.Models {
		path := fmt.Sprintf("models[%d]", i)
		v.checkUniqueName(seen, path+".name", string(model.Name))
		v.name(path+".version", model.Version)
		checkRange(v, path+".context-tokens", model.ContextTokens, 1, maxTokens)
		longestContext = max(longestContext, model.ContextTokens)
		if !(model.BytesPerToken >= 0.1 && model.BytesPerToken <= 1000) {
			v.add(path+".bytes-per-token", "write the measured mean, usually between 2 and 6",
				"%v is not between 0.1 and 1000", model.BytesPerToken)
		}
		checkRange(v, path+".min-engines", model.MinEngines, 0, maxCount)
		adapters := map[string]bool{}
		for j, adapter := range model.Adapters {
			adapterPath := fmt.Sprintf("%s.adapters[%d]", path, j)
			v.checkUniqueName(adapters, adapterPath+".name", string(adapter.Name))
			v.name(adapterPath+".version", adapter.Version)
		}
	}
	if len(m.Models) > 0 && m.Limits.MaxPromptTokens > longestContext {
		v.add("limits.max-prompt-tokens", "lower it to the longest context of a model",
			"%d exceeds the longest context, %d", m.Limits.MaxPromptTokens, longestContext)
	}
}

func (v *validator) checkServices() {
	seen := map[string]bool{}
	for i, s := range v.manifest.Services {
		path := fmt.Sprintf("services[%d]", i)
		v.checkUniqueName(seen, path+".name", string(s.Name))
		checkRange(v, path+".timeout-ms", s.Timeout, 1, maxTimeout)
		if limit := v.manifest.Limits.MaxTimeout; s.Timeout > limit {
			v.add(path+".timeout-ms", "lower it or raise limits.max-timeout-ms",
				"%d exceeds the longest time limit, %d", s.Timeout, limit)
		}
		routes := map[Route]bool{}
		for j, r := range s.NonRepeatable {
			routePath := fmt.Sprintf("%s.non-repeatable[%d]", path, j)
			v.checkRoute(routePath, r)
			if routes[r] {
				v.add(routePath, "keep one of the occurrences", "the route %s %s is listed twice", r.Method, r.Path)
			}
			routes[r] = true
		}
	}
}

func (v *validator) checkRoute(path string, r Route) {
	if !slices.Contains(allowedMethods, r.Method) {
		v.add(path+".method", "use one of "+strings.Join(allowedMethods, ", "), "%q is not an accepted method", r.Method)
	}
	base := strings.TrimSuffix(r.Path, "/*")
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(base, "*?#% ") || (base != "" && cleanPath(base) != base) {
		v.add(path+".path", "write an absolute path without query, wildcards or escapes; it may end in /*",
			"%q is not an accepted path", r.Path)
	}
}

func (v *validator) checkCustomers() {
	m := v.manifest
	if len(m.Customers) == 0 {
		v.add("customers", "list the customers of the deployment", "there is no customer")
	}
	models, services := map[string]bool{}, map[string]bool{}
	for _, model := range m.Models {
		models[string(model.Name)] = true
	}
	for _, s := range m.Services {
		services[string(s.Name)] = true
	}
	seen := map[string]bool{}
	for i := range m.Customers {
		v.checkCustomer(fmt.Sprintf("customers[%d]", i), &m.Customers[i], seen, models, services)
	}
}

func (v *validator) checkCustomer(path string, c *Customer, seen, models, services map[string]bool) {
	v.checkUniqueName(seen, path+".id", string(c.ID))
	checkRange(v, path+".weight", c.Weight, 1, maxWeight)
	checkRange(v, path+".max-requests-in-flight", c.MaxRequestsInFlight, 1, maxCount)
	checkRange(v, path+".max-tokens-in-flight", c.MaxTokensInFlight, 1, maxTokens)
	if len(c.KeyHashes) == 0 {
		v.add(path+".key-hashes", "add the hash of at least one key", "the customer has no key")
	}
	for j, hash := range c.KeyHashes {
		hashPath := fmt.Sprintf("%s.key-hashes[%d]", path, j)
		if !keyHashPattern.MatchString(hash) {
			// The message omits the value, which may be the key itself, entered by mistake.
			v.add(hashPath, `write "sha256:" and the 64 lowercase hex digits of the key's SHA-256 hash`, "malformed key hash")
		} else if first, ok := v.firstKeyPath[hash]; ok {
			v.add(hashPath, "give each customer keys of its own", "the key hash already occurs at %s", first)
		} else {
			v.firstKeyPath[hash] = hashPath
		}
	}
	if len(c.Models)+len(c.Services) == 0 {
		v.add(path, "list at least one model or service, or remove the customer", "the customer may use no model and no service")
	}
	checkReferences(v, path+".models", "model", c.Models, models)
	checkReferences(v, path+".services", "service", c.Services, services)
}

// checkReferences checks that each name in a customer's list is defined in the manifest and listed once.
func checkReferences[N ~string](v *validator, path, kind string, names []N, defined map[string]bool) {
	seen := map[string]bool{}
	for i, name := range names {
		namePath := fmt.Sprintf("%s[%d]", path, i)
		if !defined[string(name)] {
			v.add(namePath, "define the "+kind+" or remove the name", "unknown %s %q", kind, string(name))
		} else if seen[string(name)] {
			v.add(namePath, "keep one of the occurrences", "%s %q is listed twice", kind, string(name))
		}
		seen[string(name)] = true
	}
}

// name checks that a name matches namePattern.
func (v *validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.add(path, "use 1 to 64 letters, digits, dots, dashes and underscores, starting with a letter or digit",
			"%q is not an accepted name", name)
	}
}

// checkUniqueName checks a name and that it is not in seen, and adds it there.
func (v *validator) checkUniqueName(seen map[string]bool, path, name string) {
	v.name(path, name)
	if seen[name] {
		v.add(path, "rename or remove one of them", "the name %q occurs more than once", name)
	}
	seen[name] = true
}

// checkRange checks that n is between low and high, both included.
func checkRange[N ~int | ~int64](v *validator, path string, n, low, high N) {
	if n < low || n > high {
		v.add(path, fmt.Sprintf("write a value from %d to %d", low, high), "%d is out of range", n)
	}
}
