/*
 * A library for LD_PRELOAD that makes system calls of one process fail and steps its wall clock, as the
 * control file named by FAULT_SHIM_CONTROL says. The file holds 64-bit integers in the machine's order, in
 * the order of enum field; a test changes them while the process runs.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* For each call: the error, every how many calls it comes (0: never); for transfers, a limit in bytes. */
enum field {
    WALL_CLOCK_OFFSET_MILLIS,
    ACCEPT_ERROR, ACCEPT_PERIOD,
    SOCKET_ERROR, SOCKET_PERIOD,
    CONNECT_ERROR, CONNECT_PERIOD,
    READ_ERROR, READ_PERIOD, READ_LIMIT,
    WRITE_ERROR, WRITE_PERIOD, WRITE_LIMIT,
    FILE_WRITE_ERROR, FILE_WRITE_PERIOD,
    FILE_SYNC_ERROR, FILE_SYNC_PERIOD,
    FIELD_COUNT
};

static volatile int64_t *control;
static atomic_long calls[FIELD_COUNT];

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULT_SHIM_CONTROL");
    int fd = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, FIELD_COUNT * sizeof(int64_t), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
}

/* Whether this call fails; sets errno if so. */
static int fails(enum field error, enum field period) {
    int64_t every = control == NULL ? 0 : control[period];
    if (every <= 0 || atomic_fetch_add(&calls[error], 1) % every != 0) {
        return 0;
    }
    errno = (int) control[error];
    return errno != 0;
}

static size_t limited(size_t length, enum field limit) {
    int64_t most = control == NULL ? 0 : control[limit];
    return most > 0 && (size_t) most < length ? (size_t) most : length;
}

static int is_inet_socket(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    int saved = errno;
    int result = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size);
    errno = saved;
    return result == 0 && (domain == AF_INET || domain == AF_INET6);
}

static int is_regular_file(int fd) {
    struct stat status;
    int saved = errno;
    int result = fstat(fd, &status);
    errno = saved;
    return result == 0 && S_ISREG(status.st_mode);
}

#define REAL(name) ((__typeof__(&name)) real(#name))

static void *real(const char *name) {
    return dlsym(RTLD_NEXT, name);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    return is_inet_socket(fd) && fails(ACCEPT_ERROR, ACCEPT_PERIOD) ? -1 : REAL(accept)(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    return is_inet_socket(fd) && fails(ACCEPT_ERROR, ACCEPT_PERIOD) ? -1
            : REAL(accept4)(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) {
    int inet = domain == AF_INET || domain == AF_INET6;
    return inet && fails(SOCKET_ERROR, SOCKET_PERIOD) ? -1 : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    return is_inet_socket(fd) && fails(CONNECT_ERROR, CONNECT_PERIOD) ? -1
            : REAL(connect)(fd, address, size);
}

ssize_t read(int fd, void *buffer, size_t length) {
    if (!is_inet_socket(fd)) {
        return REAL(read)(fd, buffer, length);
    }
    return fails(READ_ERROR, READ_PERIOD) ? -1 : REAL(read)(fd, buffer, limited(length, READ_LIMIT));
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    return fails(READ_ERROR, READ_PERIOD) ? -1 : REAL(recv)(fd, buffer, limited(length, READ_LIMIT), flags);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    if (is_inet_socket(fd)) {
        return fails(WRITE_ERROR, WRITE_PERIOD) ? -1
                : REAL(write)(fd, buffer, limited(length, WRITE_LIMIT));
    }
    return is_regular_file(fd) && fails(FILE_WRITE_ERROR, FILE_WRITE_PERIOD) ? -1
            : REAL(write)(fd, buffer, length);
}

ssize_t pwrite64(int fd, const void *buffer, size_t length, off64_t offset) {
    return is_regular_file(fd) && fails(FILE_WRITE_ERROR, FILE_WRITE_PERIOD) ? -1
            : REAL(pwrite64)(fd, buffer, length, offset);
}

int fsync(int fd) {
    return fails(FILE_SYNC_ERROR, FILE_SYNC_PERIOD) ? -1 : REAL(fsync)(fd);
}

int fdatasync(int fd) {
    return fails(FILE_SYNC_ERROR, FILE_SYNC_PERIOD) ? -1 : REAL(fdatasync)(fd);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && control != NULL) {
        int64_t offset = control[WALL_CLOCK_OFFSET_MILLIS];
        int64_t nanos = time->tv_nsec + offset % 1000 * 1000000;
        time->tv_sec += offset / 1000 + (nanos >= 1000000000) - (nanos < 0);
        time->tv_nsec = (nanos + 1000000000) % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *time, void *zone) {
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    (void) zone;
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return result;
}
