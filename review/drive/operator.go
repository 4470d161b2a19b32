package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// route is a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, maxAttempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "labels.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 300,
		"priority": 1, "service": service, "maxAttempts": maxAttempts, "public": false, "sticky": false,
	}
}

// configuration is a whole configuration.
func configuration(version int, routes []map[string]any, services ...string) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthCheck": "/healthz", "maxConnections": 120, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// replace sends a whole configuration until it is acknowledged.
func (f *fleet) replace(base int, whole map[string]any, limit time.Duration) error {
	body, err := json.Marshal(whole)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, address := range f.controls() {
			request, err := http.NewRequest(http.MethodPost, "http://"+address+"/kestrelspread/config/replace", bytes.NewReader(body))
			if err != nil {
				return err
			}
			request.Header.Set("Content-Type", "application/json")
			request.Header.Set("X-Kestrelspread-Base-Version", strconv.Itoa(base))
			answer, err := client.Do(request)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			f.record.add("operator: version %v at %s: %d", whole["version"], address, answer.StatusCode)
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("the configuration was not acknowledged")
}
