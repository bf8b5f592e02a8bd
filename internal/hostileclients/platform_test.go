//go:build crowd

package hostileclients

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

const (
	// burstEvents is the number of events that a stream without end begins with; eventPause is the time between later ones.
	burstEvents = 128
	eventPause  = 50 * time.Millisecond
)

// networks counts the instances of this process, which differ in the third number of their address.
var networks atomic.Int64

// startPlatform starts "poplarwinch platform" with a store and a server that answers as much as requests ask for.
func startPlatform(t testing.TB, s limits) *target {
	t.Helper()
	store := emulator.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	server := httptest.NewServer(http.HandlerFunc(answerAtLength))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	configuration := emulator.Configuration(1)
	if s.maxBody == 0 {
		s.maxBody = 4 << 20
	}
	configuration = strings.Replace(configuration, `"max_body_bytes":20000`, fmt.Sprintf(`"max_body_bytes":%d`, s.maxBody), 1)
	store.Put(emulator.OperatorTable, emulator.ConfigurationKey, configuration)
	for _, service := range []string{"pool", "bookings"} {
		store.Put(emulator.ServersTable, service+"-1", fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":"north","slots":1000,"state":"ready","born":1}`, service, server.Listener.Addr().String(),
		))
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 130+os.Getpid()%100, os.Getpid()/100%250, 1+networks.Add(1))
	i := emulator.Instance{
		Name: "instance-1", Zone: "north", IP: ip, Seeds: []string{ip}, Store: storeServer.Listener.Addr().String(),
		MemoryMB: int(s.memory >> 20), MaxFDs: s.descriptors,
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := i.WriteSettings(file); err != nil {
		t.Fatal(err)
	}
	descriptors := s.descriptors
	if descriptors == 0 {
		descriptors = 4100
	}
	p := &target{process: startProcess(t, descriptors, []string{emulator.SettingsVariable + "=" + file}, "platform"), address: i.CallerAddress()}
	common := "Host: " + emulator.Host + "\r\nAuthorization: Token " + emulator.APIKey + "\r\nAttempt-Id: a1\r\n"
	p.head = "POST /read/x HTTP/1.1\r\n" + common
	p.unread = []string{
		"GET /read/long HTTP/1.1\r\n" + common + "\r\n",
		"GET /chat/long HTTP/1.1\r\n" + common + "Model: m\r\nToken-Count: 50,400\r\nPrompt-Prefix: own:50\r\n\r\n",
	}
	p.await("the instance is ready", func() bool { return isOK(i.ReadinessURL()) })
	return p
}

// answerAtLength answers requests for /read/long with a long body, for /chat/long with events until the caller leaves, and others shortly.
func answerAtLength(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Seal", "seal")
	switch {
	case strings.HasPrefix(r.URL.Path, "/-/"):
		_, _ = io.WriteString(w, `{"free":1}`)
	case r.URL.Path == "/read/long":
		_, _ = w.Write(bytes.Repeat([]byte("x"), answerBytes))
	case r.URL.Path == "/chat/long":
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for n := 1; r.Context().Err() == nil; n++ {
			_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 1000))
			if err != nil || n > burstEvents && control.Flush() != nil {
				return
			}
			if n > burstEvents {
				time.Sleep(eventPause)
			}
		}
	default:
		_, _ = io.WriteString(w, "answer")
	}
}

// isOK reports whether a GET of the URL is answered with 200.
func isOK(url string) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// freeAddress returns a loopback address on which nothing listens, below the ephemeral ports.
func freeAddress(t testing.TB) string {
	t.Helper()
	for port := 20_000 + os.Getpid()%10_000; port < 32_000; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if ports[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			ports[address] = true
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// ports has the addresses that freeAddress returned.
var ports = map[string]bool{}
