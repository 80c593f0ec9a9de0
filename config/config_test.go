package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/config"
)

// validSettings are the settings that the tests edit.
const validSettings = `{"instance":"moose-jaw-1","centre":"moose-jaw",
"callers":{"listen":"127.0.0.1:7000"},"operators":{"listen":"127.0.0.1:7001"},"peers":{"listen":"127.0.0.1:7002"},
"platform":{"base":"http://127.0.0.1:9000"},
"tokens":["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}`

// TestDecodeReportsEveryFaultWithItsField edits valid settings and checks the
// reported faults.
func TestDecodeReportsEveryFaultWithItsField(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"valid":                        {"", "", ""},
		"missing":                      {validSettings, "{}", "instance: missing; centre: missing; callers.listen: missing; operators.listen: missing; peers.listen: missing; platform.base: missing; tokens: missing; want the SHA-256 digest of each operator's token"},
		"unknown, nested":              {`"base":`, `"bass":`, "platform.bass: unknown field; platform.base: missing"},
		"host name":                    {"127.0.0.1:7000", "moose-jaw:7000", "callers.listen: want an IP address and port; callers.cert: missing; an address other than loopback needs TLS or insecure"},
		"no port":                      {"127.0.0.1:7000", "127.0.0.1:0", "callers.listen: want a port above zero"},
		"unspecified":                  {`"127.0.0.1:7000"`, `"0.0.0.0:7000","insecure":true`, "callers.listen: want the instance's own IP address, since it is advertised to others"},
		"overlap":                      {"127.0.0.1:7001", "127.0.0.1:7000", "operators.listen: overlaps callers.listen"},
		"overlap, unspecified address": {`"127.0.0.1:7001"`, `"0.0.0.0:7002","insecure":true`, "peers.listen: overlaps operators.listen"},
		"plaintext, not allowed":       {"127.0.0.1:7000", "10.0.0.1:7000", "callers.cert: missing; an address other than loopback needs TLS or insecure"},
		"plaintext, allowed":           {`"127.0.0.1:7000"`, `"10.0.0.1:7000","insecure":true`, ""},
		"no key":                       {`"127.0.0.1:7000"`, `"10.0.0.1:7000","cert":"c"`, "callers.key: missing; cert is set"},
		"no authority":                 {`"127.0.0.1:7002"`, `"10.0.0.1:7002","cert":"c","key":"k"`, "peers.ca: missing; entries authenticate each other by certificate"},
		"less held than a body needs":  {`"tokens"`, `"limits":{"body":4096,"held":16383},"tokens"`, "limits.held: want 16384 to 1099511627776 bytes"},
		"too few connections":          {`"tokens"`, `"limits":{"connections":15},"tokens"`, "limits.connections: want 16 to 1048576 connections"},
		"connections of listeners":     {`"tokens"`, `"limits":{"lookups":15,"probes":16,"operators":-1,"peers":1048577},"tokens"`, "limits.lookups: want 16 to 1048576 connections; limits.operators: want 16 to 1048576 connections; limits.peers: want 16 to 1048576 connections"},
		"times":                        {`"tokens"`, `"linger":1,"limits":{"input":-1,"body":5},"tokens"`, "limits.body: want 1024 to 67108864 bytes; limits.input: want 100 to 600000 ms; linger: want 5000 to 600000 ms"},
		"base":                         {"http://127.0.0.1:9000", "ftp://a", "platform.base: want http://ADDRESS:PORT or https://ADDRESS:PORT"},
		"base, host":                   {"http://127.0.0.1:9000", "http://platform:9000", "platform.base: want an IP address for its host"},
		"token without TLS":            {`"http://127.0.0.1:9000"`, `"http://10.0.0.9:9000","token":"f"`, "platform.token: needs https, a loopback address or platform.insecure"},
		"token, not digest":            {"e3b0", "secret", "tokens[0]: want a SHA-256 digest of 64 small hexadecimal digits"},
		"policy and level":             {`"tokens"`, `"policy":"best","log":"loud","tokens"`, "policy: want one of cost, least, random; log: want one of debug, info, warn, error"},
		"seeds":                        {`"tokens"`, `"seeds":["127.0.0.1:7002","weyburn:1"],"tokens"`, "seeds[1]: want an IP address and port"},
		"wrong type":                   {`"moose-jaw-1"`, `7`, "instance: want a string"},
		"name":                         {`"moose-jaw-1"`, `"moose.jaw"`, "instance: want up to 63 lower-case letters, digits and hyphens"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.Decode([]byte(strings.Replace(validSettings, tc.old, tc.new, 1)))
			if tc.want == "" {
				is.NoErr(err)
				return
			}
			is.Equal(err.Error(), tc.want)
		})
	}
}

// TestDistance guards against a price of distance that no network has.
func TestDistance(t *testing.T) {
	_, err := config.Decode([]byte(`{"fleet":{"distance":15000}}`))
	is.New(t).True(strings.Contains(err.Error(), "fleet.distance: want 1 to 10000 ms"))
}

// FuzzDecode checks that Decode returns either an error or settings that pass
// Check.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"callers":{"listen":"[::1]:1"}}`))
	f.Add([]byte(`{"limits":null,"tokens":[""]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := config.Decode(data)
		is.New(t).True((s == nil) != (err == nil))
		if s != nil {
			is.New(t).NoErr(s.Check())
		}
	})
}
