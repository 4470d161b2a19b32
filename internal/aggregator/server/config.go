package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"kestrelspread/internal/aggregator/settings"
)

// config is the file's form; the environment goes before it.
type config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      string
	Limits    struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Known    json.RawMessage
	Settings json.RawMessage
}

// loadedConfig is a configuration that has proved sound.
type loadedConfig struct {
	config
	listen, discovery netip.AddrPort
	seed              uint64
	settings          settings.Values
}

// loadConfig reads the file. The environment goes before it at the start alone, as it cannot change
// later; after that it gives what the file does not name.
func loadConfig(atStart bool) (p loadedConfig, err error) {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return p, errors.New("RELAY_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return p, fmt.Errorf("config: %w", err)
	}
	if err := json.Unmarshal(text, &p.config); err != nil {
		return p, fmt.Errorf("config %s: %w", path, err)
	}
	for name, at := range map[string]*string{"RELAY_NAME": &p.Name, "RELAY_LISTEN": &p.Listen,
		"RELAY_DISCOVERY": &p.Discovery} {
		if v := os.Getenv(name); v != "" && (atStart || *at == "") {
			*at = v
		}
	}
	if len(p.Settings) == 0 {
		return p, fmt.Errorf("config %s: no settings", path)
	}
	if p.listen, err = netip.ParseAddrPort(p.Listen); err != nil {
		return p, fmt.Errorf("config %s: listen address: %w", path, err)
	}
	if p.discovery, err = netip.ParseAddrPort(p.Discovery); err != nil {
		return p, fmt.Errorf("config %s: discovery address: %w", path, err)
	}
	if p.seed, err = strconv.ParseUint(p.Seed, 16, 64); err != nil {
		return p, fmt.Errorf("config %s: seed: %w", path, err)
	}
	if p.settings, err = settings.FromJSON(p.Settings); err != nil {
		return p, fmt.Errorf("config %s: %w", path, err)
	}
	if p.settings.Count("classes") == 0 {
		return p, fmt.Errorf("config %s: settings: no classes", path)
	}
	return p, nil
}

// needRestart names what differs and is not taken over while the program runs.
func (p *loadedConfig) needRestart(next *loadedConfig) (names []string) {
	for name, same := range map[string]bool{"name": p.Name == next.Name, "listen": p.Listen == next.Listen,
		"limits": p.Limits == next.Limits, "settings": maps.Equal(p.settings, next.settings)} {
		if !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Settings gives the settings of the configuration that the environment names, for checks beside an
// aggregator.
func Settings() (settings.Values, error) {
	p, err := loadConfig(true)
	return p.settings, err
}
