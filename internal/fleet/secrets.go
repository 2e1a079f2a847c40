package fleet

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
)

// secretBytes is the length of keys and tokens before hex encoding.
const secretBytes = 32

func randomSecret() string {
	secret := make([]byte, secretBytes)
	rand.Read(secret)
	return hex.EncodeToString(secret)
}

// writeSecrets writes the key shared by the nodes and the tokens of the operator and the
// platform.
func (f *Fleet) writeSecrets() error {
	folder := filepath.Join(f.options.Folder, secretFolder)
	f.keyPath = filepath.Join(folder, "keys")
	f.tokenPath = filepath.Join(folder, "tokens")
	f.platformTokenPath = filepath.Join(folder, "platform.token")
	f.replicasPath = filepath.Join(f.options.Folder, "replicas.json")
	f.Token = randomSecret()
	platformToken := randomSecret()
	files := map[string]string{
		f.keyPath:           randomSecret() + "\n",
		f.tokenPath:         "operator " + f.Token + "\nplatform " + platformToken + "\n",
		f.platformTokenPath: platformToken + "\n",
	}
	for path, text := range files {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return fmt.Errorf("writing secrets: %w", err)
		}
	}
	return nil
}
