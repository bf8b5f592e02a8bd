//go:build review2

package main

// configuration is that of a small deployment with one plain service; its limits are those of the pages' example.
const configuration = `{"version":7,"routes":[
{"name":"book","host":"a.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"bookings","max_attempts":1,"allow_anonymous":false},
{"name":"read","host":"a.example","prefix":"/read/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"bookings","max_attempts":2,"allow_anonymous":false}],
"services":[{"name":"bookings","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["key-1"],"priority":1}]}`
