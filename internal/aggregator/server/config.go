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

// config is the configuration file as decoded from JSON. RELAY_NAME, RELAY_LISTEN and
// RELAY_DISCOVERY in the environment override its fields at the start; see loadConfig.
type config struct {
	Name      string
	Listen    string // address:port on which clients connect
	Discovery string // address:port of the discovery service
	Seed      string // of random choices, in hexadecimal
	Limits    struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     // 0: as many as the system allows
	}
	Known    json.RawMessage // initial list of servers
	Settings json.RawMessage // see package settings
}

// loadedConfig is a configuration that has passed all checks, with its parsed values.
type loadedConfig struct {
	config
	listen, discovery netip.AddrPort
	seed              uint64
	settings          settings.Values
}

// loadConfig reads and checks the configuration file. At the start, environment variables override
// the file. On a reload they only supply what the file leaves out, as the environment of a running
// process cannot change.
func loadConfig(atStart bool) (c loadedConfig, err error) {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return c, errors.New("environment variable RELAY_CONFIG, which names the configuration file, is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	if err := json.Unmarshal(text, &c.config); err != nil {
		return c, fmt.Errorf("config %s: %w", path, err)
	}
	for name, field := range map[string]*string{"RELAY_NAME": &c.Name, "RELAY_LISTEN": &c.Listen,
		"RELAY_DISCOVERY": &c.Discovery} {
		if v := os.Getenv(name); v != "" && (atStart || *field == "") {
			*field = v
		}
	}
	if len(c.Settings) == 0 {
		return c, fmt.Errorf("config %s: no settings", path)
	}
	if c.listen, err = netip.ParseAddrPort(c.Listen); err != nil {
		return c, fmt.Errorf("config %s: listen address: %w", path, err)
	}
	if c.discovery, err = netip.ParseAddrPort(c.Discovery); err != nil {
		return c, fmt.Errorf("config %s: discovery address: %w", path, err)
	}
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("config %s: seed: %w", path, err)
	}
	if c.settings, err = settings.FromJSON(c.Settings); err != nil {
		return c, fmt.Errorf("config %s: %w", path, err)
	}
	if c.settings.Count("classes") == 0 {
		return c, fmt.Errorf("config %s: settings: no classes", path)
	}
	return c, nil
}

// changesNeedingRestart returns the sorted names of the fields that differ in next and take effect
// only after a restart.
func (c *loadedConfig) changesNeedingRestart(next *loadedConfig) (names []string) {
	for name, same := range map[string]bool{"name": c.Name == next.Name, "listen": c.Listen == next.Listen,
		"limits": c.Limits == next.Limits, "settings": maps.Equal(c.settings, next.settings)} {
		if !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// LoadSettings returns the settings of the configuration file that RELAY_CONFIG names. It serves
// commands that check a configuration without starting an aggregator.
func LoadSettings() (settings.Values, error) {
	c, err := loadConfig(true)
	return c.settings, err
}
