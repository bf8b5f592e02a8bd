//go:build review

package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Names in the configuration.
const (
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	// revokedKey is a second key of the tenant, which some configurations have.
	revokedKey = "anfqasnmgkcuyj8pjbvk"
	// plainBudget is the deadline of clients of the plain service on the sheet of cedarline-tag.
	plainBudget = 1500 * time.Millisecond
	// modelService is the service of the model servers.
	modelService = "huvo11a"
	// plainService is the plain service.
	plainService = "noye34b"
)

// configurationText has a route to the model servers and two to a plain service.
const configurationText = `{"version":VERSION,"routes":[
{"name":"r-note","host":"ficu95.example","prefix":"/lohu930/","kind":"streaming","timeout_ms":10000,"target_latency_ms":300,"priority":1,"service":"huvo11a","max_attempts":2,"allow_anonymous":false,"sticky_sessions":true,"stream_resume":true,"gap_aim_ms":250},
{"name":"r-read","host":"ficu95.example","prefix":"/cufi504/","kind":"idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"noye34b","max_attempts":2,"allow_anonymous":false},
{"name":"r-book","host":"ficu95.example","prefix":"/puxa403/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"noye34b","max_attempts":1,"allow_anonymous":false}],
"services":[{"name":"huvo11a","health_path":"/health","max_connections":334,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_tokens":405000,"stride":34,"models":[MODELS],"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":5000,"answer":1266},"hop_ms":0.1}},{"name":"noye34b","health_path":"/health","max_connections":48,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":[KEYS],"priority":1}]}`

// configuration returns the configuration with the models of the model service and the keys of the tenant.
func (w *world) configuration() string {
	var models, keys []string
	for _, name := range w.models {
		models = append(models, fmt.Sprintf(`{"name":%q}`, name))
	}
	for _, key := range w.keys {
		keys = append(keys, fmt.Sprintf("%q", key))
	}
	return strings.NewReplacer(
		"VERSION", strconv.Itoa(w.version), "MODELS", strings.Join(models, ","), "KEYS", strings.Join(keys, ","),
	).Replace(configurationText)
}
