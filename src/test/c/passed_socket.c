/* Holds a listening socket that gateway processes inherit as descriptor 0, as the platform does during an upgrade.
   Usage: passed_socket PORT. Each line of the standard input is a shell command to start; its process id is printed.
   Ends with its input; the processes that it started go on. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024
#define MAX_COMMAND_BYTES 65536

static int listen_on(int port) {
    struct sockaddr_in address;
    int on = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    memset(&address, 0, sizeof address);
    address.sin_family = AF_INET;
    address.sin_port = htons((unsigned short) port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (listener < 0 || setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
            || bind(listener, (struct sockaddr *) &address, sizeof address) != 0 || listen(listener, BACKLOG) != 0) {
        perror("passed_socket");
        exit(1);
    }
    return listener;
}

static void start(int listener, const char *command) {
    pid_t child = fork();
    if (child == 0) {
        dup2(listener, STDIN_FILENO);
        close(listener);
        execl("/bin/sh", "sh", "-c", command, (char *) NULL);
        _exit(127);
    }
    printf("%ld\n", (long) child);
    fflush(stdout);
}

int main(int count, char **arguments) {
    static char command[MAX_COMMAND_BYTES];
    if (count != 2) {
        return 2;
    }
    int listener = listen_on(atoi(arguments[1]));
    signal(SIGCHLD, SIG_IGN);
    while (fgets(command, sizeof command, stdin) != NULL) {
        start(listener, command);
    }
    return 0;
}
