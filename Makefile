.PHONY: build test lint run

# Both programs, into target/release/.
build:
	cargo build --release --locked

# All tests of all crates.
test:
	cargo test --workspace --locked

# Formatting, clippy and documentation; every warning is an error.
lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

# A gateway with a console, on the example configuration for operators.
run: build
	exec target/release/storage-gateway --config deploy/operator.example.json
