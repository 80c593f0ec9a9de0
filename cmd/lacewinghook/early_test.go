package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/args"
	"lacewinghook.example/lacewinghook/osproc"
)

// TestEarlyReload guards against SIGHUP ending a process that is still reading its
// settings. Found by the soak, seed 5.
func TestEarlyReload(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	dir := t.TempDir()
	is.NoErr(osproc.Build(ctx, dir))
	file := filepath.Join(dir, "settings")
	is.NoErr(syscall.Mkfifo(file, 0o600))
	cmd := exec.CommandContext(ctx, filepath.Join(dir, "lacewinghook"), "serve", "-config", file)
	is.NoErr(cmd.Start())
	// The process reads its settings once this returns.
	w, err := os.OpenFile(file, os.O_WRONLY, 0)
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	_, err = w.WriteString("no settings")
	is.NoErr(err)
	is.NoErr(w.Close())
	is.True(cmd.Wait() != nil)
	is.Equal(cmd.ProcessState.ExitCode(), args.ExitFail) // -1 if a signal ended it
}
