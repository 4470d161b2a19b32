package netmap

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRewriteKeepsHostAndPort(t *testing.T) {
	for _, c := range []struct{ rule, address, want string }{
		{"", "127.64.3.9:700", "127.64.3.9:700"},
		{"127.64.3.0/24=127.200.1.0", "127.64.3.9:700", "127.200.1.9:700"},
		{"127.64.3.0/24=127.200.1.0", "127.64.4.9:700", "127.64.4.9:700"},
		{"10.16.0.0/12=172.32.0.0", "10.31.200.7:1", "172.47.200.7:1"},
		{"10.1.2.3/32=10.9.9.9", "10.1.2.3:80", "10.9.9.9:80"},
		{"0.0.0.0/0=0.0.0.0", "10.1.2.3:80", "10.1.2.3:80"},
		{"127.64.3.0/24=127.200.1.0", "host.example:80", "host.example:80"},
		{"127.64.3.0/24=127.200.1.0", "[::1]:80", "[::1]:80"},
	} {
		rule, err := Parse(c.rule)
		assert.NilError(t, err)
		assert.Equal(t, rule.Rewrite(c.address), c.want, "%q", c.rule)
	}
}

func TestInvalidRulesAreRejected(t *testing.T) {
	for _, text := range []string{"10.0.0.0/8", "=", "a=b", "10.0.0.1/8=11.0.0.0", "10.0.0.0/8=11.0.0.1", "10.0.0.0/33=11.0.0.0", "::/0=::"} {
		_, err := Parse(text)
		assert.Assert(t, errors.Is(err, ErrInvalidRule), "%q: %v", text, err)
	}
}
