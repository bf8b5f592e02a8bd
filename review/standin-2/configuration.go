//go:build review2

package main

// configuration is that of a small deployment with a pool of engines and a plain service; its limits are those of the pages' example.
const configuration = `{"version":7,"routes":[
{"name":"book","host":"a.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"bookings","max_attempts":1,"allow_anonymous":false},
{"name":"read","host":"a.example","prefix":"/read/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"bookings","max_attempts":2,"allow_anonymous":false},
{"name":"note","host":"a.example","prefix":"/note/","kind":"streaming","timeout_ms":10000,"target_latency_ms":300,"priority":1,"service":"drafting","max_attempts":2,"allow_anonymous":false,"sticky_sessions":true,"stream_resume":true,"gap_aim_ms":250}],
"services":[{"name":"drafting","health_path":"/health","max_connections":434,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_tokens":405000,"kv_bytes":163840,"link_mbps":400000.0,"stride":34,"models":[{"name":"m"}],"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,"delays":[],"usual":{"prompt":11323,"answer":1266},"hop_ms":0.1}},
{"name":"bookings","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["key-1"],"priority":1}]}`
