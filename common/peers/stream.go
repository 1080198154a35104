package peers

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
)

// streamHash returns the hash that streams of a name begin with.
func streamHash(secret, name string) [sha256.Size]byte {
	return sha256.Sum256([]byte(secret + "\x00" + name))
}

// DialStream opens a stream of a name to the process at an address, whose secret must be known. A
// process that does not serve such streams closes the connection.
func DialStream(ctx context.Context, dial DialFunc, address, secret, name string) (net.Conn, error) {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("open stream %s to %s: %w", name, address, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	hash := streamHash(secret, name)
	if _, err := conn.Write(hash[:]); err != nil {
		return nil, fmt.Errorf("open stream %s to %s: %w", name, address, errors.Join(ctx.Err(), err, conn.Close()))
	}
	return conn, nil
}
