package settings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch/settings"
)

const (
	accessSecret = "access-key-of-the-test"
	peerSecret   = "peer-secret-of-the-test"
)

// load loads testdata/minimal.ini after replacing text in it, with files and environment variables that exist only in
// the test.
func load(t *testing.T, variables map[string]string, replacements ...string) (*settings.Settings, error) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "minimal.ini"))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(replacements...).Replace(string(data))
	files := map[string]string{
		"x.ini": text, "access.secret": accessSecret + "\n", "peer.secret": peerSecret + "\n", "short.secret": "short", "pem": "pem",
	}
	return settings.Load("x.ini",
		settings.WithReadFile(func(path string) ([]byte, error) {
			if data, ok := files[path]; ok {
				return []byte(data), nil
			}
			return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
		}),
		settings.WithEnvironment(func(name string) (string, bool) { v, ok := variables[name]; return v, ok }))
}

// A default that differs from the documented one would change every instance that relies on it.
func TestDefaults(t *testing.T) {
	s, err := load(t, nil)
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Caller{
		MaxBody: 16 << 20, BodyMemory: 256 << 20, WriteStall: 30_000, HeaderTimeout: 10_000, IdleTimeout: 120_000, MaxHeader: 16 << 10, MaxRequests: 4096,
	}
	if s.Caller != want {
		t.Errorf("Caller = %+v, want %+v", s.Caller, want)
	}
	if s.Advertise.Peer != s.Listen.Peer || s.Stop.Unready != 5000 || s.Stop.Drain != 0 || s.Log.Level != "info" ||
		s.Platform.Timeout != 2000 {
		t.Errorf("settings = %v", s)
	}
	if s.Platform.SecretAccessKey.Reveal() != accessSecret || s.Peers.Secret.Reveal() != peerSecret {
		t.Error("the secrets are not those of the files")
	}
}

// A value truncated at a comment character, or with an interpolated part, would be a wrong credential.
func TestValuesAreLiteral(t *testing.T) {
	const value = "a#b ;c %(id)s \\ :="
	s, err := load(t, nil, "access-key-id = id", "access-key-id = "+value)
	if err != nil || s.Platform.AccessKeyID != value {
		t.Fatalf("access key id %v, %v, want %q", s, err, value)
	}
}

// Deployments without secret volumes pass the secret in the environment, so it must be accepted without a file.
func TestSecretFromEnvironment(t *testing.T) {
	s, err := load(t, map[string]string{settings.EnvPeerSecret: peerSecret}, "secret-file = peer.secret", "")
	if err != nil || s.Peers.Secret.Reveal() != peerSecret {
		t.Fatalf("Load() = %v, %v", s, err)
	}
}

// A secret in any printed form of the settings would end up in logs.
func TestSecretsAreHidden(t *testing.T) {
	s, err := load(t, nil)
	if err != nil {
		t.Fatal(err)
	}
	encoded, _ := json.Marshal(s)
	wrapper := struct{ secret settings.Secret }{s.Peers.Secret}
	text := s.String() + string(encoded) + fmt.Sprintf("%v %+v %#v %s %q %x", s, *s, s, s.Peers, s.Peers, s.Peers) +
		fmt.Sprintf("%v %+v %#v", wrapper, wrapper, &wrapper)
	if strings.Contains(text, accessSecret) || strings.Contains(text, peerSecret) ||
		strings.Contains(text, fmt.Sprintf("%x", peerSecret)) {
		t.Errorf("a secret is visible in %s", text)
	}
}

// Each case is a mistake that would otherwise show only at the first use of the setting.
func TestProblems(t *testing.T) {
	for name, c := range map[string]struct {
		replacements []string
		want         string
	}{
		"unknown section":        {[]string{"[peers]", "[extra]\nsecret = " + peerSecret + "\n[peers]"}, "[extra] unknown section"},
		"unknown key":            {[]string{"[peers]", "[peers]\nsecret = " + peerSecret}, "[peers] secret: unknown key"},
		"key before a section":   {[]string{"[instance]", "id = x\n[instance]"}, "keys before the first section"},
		"duplicate key":          {[]string{"id = one", "id = one\nid = one"}, "[instance] id: the key occurs 2 times"},
		"missing key":            {[]string{"id = one", ""}, "[instance] id: the key is missing; write an id"},
		"empty value":            {[]string{"id = one", "id ="}, "[instance] id: the value is empty"},
		"bad name":               {[]string{"id = one", "id = a/b"}, "[instance] id = a/b: not an accepted name"},
		"host name":              {[]string{"127.0.0.1:8001", "localhost:8001"}, "[listen] caller = localhost:8001: not an IP address"},
		"port 0":                 {[]string{"127.0.0.1:8001", "127.0.0.1:0"}, "[listen] caller = 127.0.0.1:0"},
		"same address":           {[]string{"127.0.0.1:8002", "127.0.0.1:8001"}, "[listen] peer = 127.0.0.1:8001: the address is also that of caller"},
		"nothing to advertise":   {[]string{"127.0.0.1:8002", "0.0.0.0:8002"}, "[advertise] peer: 0.0.0.0:8002 is not an address"},
		"bad number":             {[]string{"[peers]", "[caller]\nmax-requests = many\n[peers]"}, "[caller] max-requests = many: not an accepted number"},
		"bodies don't fit":       {[]string{"[peers]", "[caller]\nbody-memory-mib = 8\n[peers]"}, "[caller] body-memory-mib: 8 MiB don't hold one body"},
		"not a URL":              {[]string{"http://127.0.0.1:8000", "ftp://x"}, "[platform] table-endpoint = ftp://x: not an accepted URL"},
		"password in URL":        {[]string{"http://127.0.0.1:8000", "http://u:" + peerSecret + "@h"}, "[platform] table-endpoint = (hidden)"},
		"missing secret":         {[]string{"secret-file = peer.secret", ""}, "[peers] secret-file: the secret is missing"},
		"secret instead of file": {[]string{"peer.secret", peerSecret}, "[peers] secret-file = (hidden): can't read the file: file does not exist"},
		"short secret":           {[]string{"peer.secret", "short.secret"}, "at least 16 characters"},
		"bad seed":               {[]string{"[peers]", "[peers]\nseeds = 127.0.0.1:1, x"}, "[peers] seeds = x: not an IP address"},
		"key file alone":         {[]string{"[peers]", "[tls]\ncaller-key-file = pem\n[peers]"}, "[tls] caller-cert-file: the key is missing, but caller-key-file is present"},
		"peers without CA":       {[]string{"[peers]", "[tls]\npeer-cert-file = pem\npeer-key-file = pem\n[peers]"}, "[tls] peer-ca-file"},
		"certificate missing":    {[]string{"[peers]", "[tls]\ncaller-cert-file = no\ncaller-key-file = pem\n[peers]"}, "[tls] caller-cert-file = no: can't read"},
		"bad level":              {[]string{"[peers]", "[log]\nlevel = loud\n[peers]"}, "[log] level = loud: unknown level"},
		"not INI":                {[]string{"[peers]", peerSecret + "\n[peers]"}, "line 22 is not valid INI"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, nil, c.replacements...)
			var invalid *settings.InvalidError
			if !errors.As(err, &invalid) || len(invalid.Problems) != 1 {
				t.Fatalf("Load() = %v, want one problem", err)
			}
			if !strings.Contains(err.Error(), c.want) || invalid.Problems[0].Remedy == "" {
				t.Errorf("error %q does not contain %q and a remedy", err, c.want)
			}
			if strings.Contains(err.Error(), peerSecret) {
				t.Errorf("error %q contains the secret", err)
			}
		})
	}
}

// If the mistakes were reported one at a time, an operator would have to restart the instance for each of them.
func TestAllProblemsAtOnce(t *testing.T) {
	_, err := load(t, map[string]string{settings.EnvSecretAccessKey: "x"}, "id = one", "", "127.0.0.1:8001", "x", "region", "regoin")
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 7 {
		t.Fatalf("Load() = %v, want 7 problems", err)
	}
}

func ExampleLoad() {
	_, err := settings.Load("testdata/incomplete.ini", settings.WithEnvironment(func(string) (string, bool) {
		return "0123456789abcdef", true
	}))
	fmt.Println(err)
	// Output:
	// the settings in testdata/incomplete.ini have 2 problem(s):
	//   [listen] operator: the key is missing; write IP:port, for example 127.0.0.1:8080
	//   [caller] max-requests = 0: not an accepted number; write a whole number from 1 to 1000000
}
