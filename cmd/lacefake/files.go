package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"lacewinghook.example/lacewinghook/config"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/pubdoc"
	"lacewinghook.example/lacewinghook/trial"
)

// layout is where the processes of a trial run listen on loopback: each kind
// has its own range of ports above the base.
type layout struct {
	base                                 int
	entries, prefills, decodes, services int
}

// The ranges of ports above the base.
const (
	platformPort = 0
	prefillPort  = 100
	decodePort   = 200
	servicePort  = 300
	entryPort    = 400
	portsAnEntry = 10
)

// files writes the settings of a trial run that consists of processes.
func files(_ context.Context, args []string) int {
	fs := flag.NewFlagSet("lacefake files", flag.ContinueOnError)
	dir := fs.String("dir", "", "folder to write to")
	var l layout
	fs.IntVar(&l.base, "base", 21000, "first port")
	fs.IntVar(&l.entries, "entries", 3, "number of entries")
	fs.IntVar(&l.prefills, "prefills", 2, "number of prefill engines")
	fs.IntVar(&l.decodes, "decodes", 2, "number of decode engines")
	fs.IntVar(&l.services, "services", 1, "number of replicas of the plain service")
	if status, ok := parse(fs, args); !ok {
		return status
	}
	if err := l.write(*dir); err != nil {
		fmt.Fprintln(os.Stderr, "lacefake files:", err)
		return exitFail
	}
	return exitOK
}

func (l layout) addr(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", l.base+port)
}

func (l layout) write(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, resumeFile), []byte(trial.ResumeKey), 0o600); err != nil {
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
		if err := writeFile(dir, s.Instance+".json", s); err != nil {
			return err
		}
	}
	return writeFile(dir, "platform.json", p)
}

func (l layout) upstreams() []core.Upstream {
	var ups []core.Upstream
	engine := func(i, port int, role core.Role) {
		ups = append(ups, core.Upstream{
			Name: fmt.Sprintf("%s-%d", role, i+1), Addr: l.addr(port + i), Centre: trial.Centre,
			Role: role, Models: []string{trial.Model}, Pieces: enginePieces,
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

// enginePieces is the memory of an engine that is started without -pieces.
const enginePieces = 60

// resumeFile is the file of the secret that signs the resume tokens.
const resumeFile = "resume.key"

func (l layout) settings(dir string, i int) *config.Settings {
	port := entryPort + i*portsAnEntry
	return &config.Settings{
		Instance:  fmt.Sprintf("%s-%d", trial.Centre, i+1),
		Centre:    trial.Centre,
		Callers:   config.Listener{Listen: l.addr(port)},
		Operators: config.Listener{Listen: l.addr(port + 1)},
		Peers:     config.Listener{Listen: l.addr(port + 2)},
		Platform:  config.Platform{Base: "http://" + l.addr(platformPort)},
		Tokens:    []string{pubdoc.Digest(trial.Token)},
		ResumeKey: filepath.Join(dir, resumeFile),
	}
}

func writeFile(dir, name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), append(data, '\n'), 0o600)
}
