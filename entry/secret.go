package entry

import (
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// maxSecretBytes bounds the file of a secret.
const maxSecretBytes = 4 << 10

// readSecret returns the secret that a file holds, without the space around
// it; no file is no secret.
func readSecret(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	f, err := os.Open(file)
	if err != nil {
		return "", err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxSecretBytes))
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", errors.Errorf("%s: no secret in it", file)
	}
	return secret, nil
}
