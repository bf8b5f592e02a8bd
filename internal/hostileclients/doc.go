// Package hostileclients has tests of the programs "platform" and "serve" against clients outside the limits of
// docs/design/client-limits.md. They start the real programs and are run by "make crowd", with the build tag crowd.
package hostileclients
