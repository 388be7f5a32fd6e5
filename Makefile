# chervilferry: "make demo" installs the dependencies, builds and runs a
# short demonstration. "make check" installs them and runs all tests. "make
# help" lists the other targets.

BUILD ?= build
PREFIX ?= /usr/local
CC ?= gcc
OPT ?= -O2 -g
SAN ?=
VERSION = 0.1.0

PKGS = apr-1 glib-2.0 libmicrohttpd libcurl jansson libxxhash liburcu-bp \
	libprotobuf-c
LIB_PKGS = glib-2.0 libxxhash libprotobuf-c

WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wpointer-arith -Wvla -Wformat=2
CFLAGS_ALL = -std=gnu11 $(OPT) $(WARN) -Iinclude -Isrc -Itests -I. -pthread \
	-DCF_VERSION='"$(VERSION)"' $(CFLAGS)
LDFLAGS_ALL = -pthread $(LDFLAGS)
ifneq ($(SAN),)
CFLAGS_ALL += -fsanitize=$(SAN) -fno-omit-frame-pointer
LDFLAGS_ALL += -fsanitize=$(SAN)
endif
# Expanded lazily, so that pkg-config runs only after setup has installed
# the packages.
DEP_CFLAGS = $(shell pkg-config --cflags $(PKGS))
DEP_LIBS = $(shell pkg-config --libs $(PKGS)) -largtable2 -lm
LIB_LIBS = $(shell pkg-config --libs $(LIB_PKGS)) -lm
TEST_LIBS = $(shell pkg-config --libs cmocka)

LIB_SRC = $(wildcard src/lib/*.c) src/proto/wire.pb-c.c
APP_SRC = $(filter-out src/main.c,$(wildcard src/*.c src/base/*.c \
	src/net/*.c src/store/*.c src/roles/*.c src/agent/*.c src/backend/*.c \
	src/coordinator/*.c src/dispatcher/*.c src/load/*.c src/verbs/*.c \
	src/leased/*.c platform/platform*.c))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB_PIC = $(LIB_SRC:%.c=$(BUILD)/pic/%.o)
APP_OBJ = $(APP_SRC:%.c=$(BUILD)/%.o)
SUPPORT_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/support/*.c) \
	platform/standin.c)

UNIT_TESTS = $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/test_*.c))
EXPLORERS = $(patsubst tests/%.c,$(BUILD)/tests/%,\
	$(wildcard tests/explore_*.c))
FAULT_TESTS = $(patsubst tests/%.c,$(BUILD)/tests/%,\
	$(wildcard tests/fault_*.c))
CROWD_TESTS = $(patsubst tests/%.c,$(BUILD)/tests/%,\
	$(wildcard tests/crowd_*.c))
FUZZERS = $(patsubst fuzz/%.c,$(BUILD)/fuzz/%,$(wildcard fuzz/fuzz_*.c))
BENCHES = $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/bench_*.c))

OWN_C = $(filter-out %.pb-c.c,$(wildcard src/*.c src/*/*.c platform/*.c tests/*.c \
	tests/support/*.c fuzz/*.c bench/*.c examples/*.c))
OWN_H = $(filter-out %.pb-c.h,$(wildcard include/*.h src/*/*.h platform/*.h \
	tests/support/*.h))

.PHONY: all help setup demo check check-unit check-faults check-crowds \
	explore bench \
	bench-capacity fuzz fuzz-corpus lint format format-check sanitize \
	install examples measure clean

all: $(BUILD)/chervilferry $(BUILD)/libchervilferry.a \
	$(BUILD)/libchervilferry.so

help:
	@echo "demo check check-unit check-faults check-crowds explore bench"
	@echo "bench-capacity fuzz fuzz-corpus soak lint format sanitize install"
	@echo "examples clean; settings: BUILD SAN PREFIX CC"

setup:
	@tools/setup.sh

$(BUILD)/%.pb-c.o: %.pb-c.c
	@mkdir -p $(@D)
	$(CC) -std=gnu11 $(OPT) -Isrc $(if $(SAN),-fsanitize=$(SAN)) -w \
		-c $< -o $@

$(BUILD)/pic/%.pb-c.o: %.pb-c.c
	@mkdir -p $(@D)
	$(CC) -std=gnu11 $(OPT) -Isrc $(if $(SAN),-fsanitize=$(SAN)) -w \
		-fPIC -fvisibility=hidden -c $< -o $@

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) $(DEP_CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/pic/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) $(DEP_CFLAGS) -MMD -MP -fPIC \
		-fvisibility=hidden -c $< -o $@

$(BUILD)/libchervilferry.a: $(LIB_PIC)
	@rm -f $@
	ld -r -o $(BUILD)/libchervilferry.o $(LIB_PIC)
	objcopy --localize-hidden $(BUILD)/libchervilferry.o
	ar rcs $@ $(BUILD)/libchervilferry.o

$(BUILD)/libchervilferry.so: $(LIB_PIC)
	$(CC) -shared -Wl,-soname,libchervilferry.so.0 -Wl,-z,defs -o $@ \
		$(LIB_PIC) $(LDFLAGS_ALL) $(LIB_LIBS)

$(BUILD)/chervilferry: $(BUILD)/src/main.o $(APP_OBJ) $(LIB_OBJ)
	$(CC) -o $@ $^ $(LDFLAGS_ALL) $(DEP_LIBS)

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(SUPPORT_OBJ) $(APP_OBJ) $(LIB_OBJ)
	$(CC) -o $@ $^ $(LDFLAGS_ALL) $(DEP_LIBS) $(TEST_LIBS)

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(SUPPORT_OBJ) $(APP_OBJ) $(LIB_OBJ)
	$(CC) -o $@ $^ $(LDFLAGS_ALL) $(DEP_LIBS) $(TEST_LIBS)

# One program per decoder. These have a main function that reads files
# (fuzz/play.c), for the saved corpus. "make fuzz" builds the same decoders
# with clang's libFuzzer.
$(BUILD)/fuzz/%: $(BUILD)/fuzz/%.o $(BUILD)/fuzz/play.o $(APP_OBJ) $(LIB_OBJ)
	$(CC) -o $@ $^ $(LDFLAGS_ALL) $(DEP_LIBS)

check: setup
	@$(MAKE) --no-print-directory check-all

.PHONY: check-all tests benches soak
check-all: all tests
	@tools/run_tests.sh $(BUILD) unit explore fault crowd fuzz examples

tests: $(UNIT_TESTS) $(EXPLORERS) $(FAULT_TESTS) $(CROWD_TESTS) $(FUZZERS)

benches: $(BENCHES)

check-unit: all $(UNIT_TESTS)
	@tools/run_tests.sh $(BUILD) unit

explore: $(EXPLORERS)
	@tools/run_tests.sh $(BUILD) explore

check-faults: all $(FAULT_TESTS)
	@tools/run_tests.sh $(BUILD) fault

check-crowds: all $(CROWD_TESTS)
	@tools/run_tests.sh $(BUILD) crowd

# Runs new seeds for SOAK_SECONDS. SOAK_FIRST and SOAK_SEEDS select specific
# seeds.
soak: all $(BUILD)/tests/fault_soak
	@SOAK_SECONDS=$${SOAK_SECONDS:-300} SOAK_SEEDS=$${SOAK_SEEDS:-0} \
		CHERVILFERRY_BINARY=$(BUILD)/chervilferry \
		$(BUILD)/tests/fault_soak

fuzz-corpus: $(FUZZERS)
	@tools/run_tests.sh $(BUILD) fuzz

fuzz:
	@tools/fuzz.sh

examples: all
	@tools/run_tests.sh $(BUILD) examples

demo: setup
	@$(MAKE) --no-print-directory all
	@tools/demo.sh $(BUILD)/chervilferry

bench: all $(BENCHES)
	@tools/bench.sh $(BUILD)

bench-capacity: all $(BENCHES)
	@tools/bench_capacity.sh $(BUILD)

measure: all
	@tools/measure.sh $(BUILD)

format:
	clang-format -i $(OWN_C) $(OWN_H)

format-check:
	@clang-format --dry-run -Werror $(OWN_C) $(OWN_H)

lint:
	@tools/lint.sh "$(CFLAGS_ALL) $(DEP_CFLAGS)" $(OWN_C)

sanitize:
	@tools/sanitize.sh

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
		$(DESTDIR)$(PREFIX)/include
	install -m 755 $(BUILD)/chervilferry $(DESTDIR)$(PREFIX)/bin/
	install -m 644 $(BUILD)/libchervilferry.a $(DESTDIR)$(PREFIX)/lib/
	install -m 755 $(BUILD)/libchervilferry.so \
		$(DESTDIR)$(PREFIX)/lib/libchervilferry.so.0
	ln -sf libchervilferry.so.0 \
		$(DESTDIR)$(PREFIX)/lib/libchervilferry.so
	install -m 644 include/chervilferry.h $(DESTDIR)$(PREFIX)/include/
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' \
		tools/chervilferry.pc.in > \
		$(DESTDIR)$(PREFIX)/lib/pkgconfig/chervilferry.pc

clean:
	rm -rf build build-*

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
.SECONDARY:
