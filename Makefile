.PHONY: build test lint lint-terms lint-width run soak

# Both programs, into target/release/.
build:
	cargo build --release --locked

# All tests of all crates, but for those that SKIPPED_TESTS names in full.
test:
	cargo test --workspace --locked -- --exact $(addprefix --skip ,$(SKIPPED_TESTS))

# Names, formatting, clippy and documentation; every warning is an error.
lint: lint-terms lint-width
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

# No withdrawn words in names and comments (lint/withdrawn-terms.txt); the check is tested first.
lint-terms:
	python3 -B lint/test_check_terms.py --quiet
	python3 -B lint/check_terms.py

# No line of Rust over 100 characters: rustfmt leaves comments as they are.
lint-width:
	@git ls-files -z '*.rs' | xargs -0 awk 'length > 100 { print FILENAME ":" FNR ": over 100 characters"; wide = 1 } \
		END { exit wide }'

# Runs seeds of the soak test on the release build, for instance: make soak SEEDS=1..50
SEEDS ?= 1..10
soak: build
	target/release/gateway-soak --seeds $(SEEDS) --parallel 6 --json target/soak.json

# A gateway with a console, on the example configuration for operators.
run: build
	exec target/release/storage-gateway --config deploy/operator.example.json
