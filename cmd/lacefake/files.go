package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"lacewinghook.example/lacewinghook/access"
	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/trial"
)

// portLayout assigns loopback ports to the processes of a trial run. Each kind
// of process has its own range of ports above the base port.
type portLayout struct {
	basePort                             int
	entries, prefills, decodes, services int
}

// The offsets of the port ranges from the base port. An entry uses three of its
// portsPerEntry ports.
const (
	platformPort  = 0
	prefillPort   = 100
	decodePort    = 200
	servicePort   = 300
	entryPort     = 400
	portsPerEntry = 10
)

// runFiles writes the settings files for a trial run of separate processes.
func runFiles(_ context.Context, args []string) int {
	fs := flag.NewFlagSet("lacefake files", flag.ContinueOnError)
	dir := fs.String("dir", "", "folder to write to")
	var l portLayout
	fs.IntVar(&l.basePort, "base", 21000, "first port")
	fs.IntVar(&l.entries, "entries", 3, "number of entries")
	fs.IntVar(&l.prefills, "prefills", 2, "number of prefill engines")
	fs.IntVar(&l.decodes, "decodes", 2, "number of decode engines")
	fs.IntVar(&l.services, "services", 1, "number of replicas of the plain service")
	if status, ok := parseFlags(fs, args); !ok {
		return status
	}
	if err := l.writeFiles(*dir); err != nil {
		fmt.Fprintln(os.Stderr, "lacefake files:", err)
		return exitFail
	}
	return exitOK
}

// addr returns the address of the port with the given offset.
func (l portLayout) addr(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", l.basePort+port)
}

// writeFiles writes the settings of the platform and of each entry, and the key
// that signs resume tokens.
func (l portLayout) writeFiles(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, resumeKeyFile), []byte(trial.ResumeKey), 0o600); err != nil {
		return err
	}
	doc := trial.Document()
	doc.Upstreams = l.upstreams()
	p := platformConfig{Listen: l.addr(platformPort), Document: &doc}
	for i := range l.entries {
		s := l.settings(dir, i)
		p.Instances = append(p.Instances, core.Instance{
			Name: s.Instance, Centre: s.Centre, Addr: s.Callers.Listen, Peer: s.Peers.Listen,
		})
		if err := writeJSON(dir, s.Instance+".json", s); err != nil {
			return err
		}
	}
	return writeJSON(dir, "platform.json", p)
}

// upstreams returns the upstreams of the document.
func (l portLayout) upstreams() []core.Upstream {
	var ups []core.Upstream
	engine := func(i, port int, role core.Role) {
		ups = append(ups, core.Upstream{
			Name: fmt.Sprintf("%s-%d", role, i+1), Addr: l.addr(port + i), Centre: trial.Centre,
			Role: role, Models: []string{trial.Model}, Pieces: defaultEnginePieces,
		})
	}
	for i := range l.prefills {
		engine(i, prefillPort, core.Prefill)
	}
	for i := range l.decodes {
		engine(i, decodePort, core.Decode)
	}
	for i := range l.services {
		ups = append(ups, core.Upstream{
			Name: fmt.Sprintf("%s-%d", trial.Service, i+1), Addr: l.addr(servicePort + i),
			Centre: trial.Centre, Role: core.Service, Service: trial.Service,
		})
	}
	return ups
}

// defaultEnginePieces is the memory in pieces of an engine that is started
// without -pieces.
const defaultEnginePieces = 60

// resumeKeyFile is the file with the secret that signs resume tokens.
const resumeKeyFile = "resume.key"

// settings returns the settings of entry i.
func (l portLayout) settings(dir string, i int) *config.Settings {
	port := entryPort + i*portsPerEntry
	return &config.Settings{
		Instance:  fmt.Sprintf("%s-%d", trial.Centre, i+1),
		Centre:    trial.Centre,
		Callers:   config.Listener{Listen: l.addr(port)},
		Operators: config.Listener{Listen: l.addr(port + 1)},
		Peers:     config.Listener{Listen: l.addr(port + 2)},
		Platform:  config.Platform{Base: "http://" + l.addr(platformPort)},
		Tokens:    []string{access.Digest(trial.OperatorToken)},
		ResumeKey: filepath.Join(dir, resumeKeyFile),
	}
}

// writeJSON writes v as indented JSON to a file that only its owner can read.
func writeJSON(dir, name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), append(data, '\n'), 0o600)
}
