package mastdrift.net;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.stream.Stream;

/** The program as the deploy file's {@code build} leaves it: the jar, its libraries and the archive of classes. Built
    once for all tests of a run, from the classes under test. */
final class GatewayInstallation {

    private static final Path FOLDER = Path.of("target", "installation").toAbsolutePath();
    private static final Path CLASSES = Path.of("target", "classes").toAbsolutePath();
    private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");
    private static final String PACKAGING = "mvn -q -DskipTests package && ";

    private static boolean built;

    private GatewayInstallation() { }

    /** The shell command of the deploy file's {@code run}, with the paths of the installation. */
    static synchronized String runCommand() throws Exception {
        if (!built) {
            build();
            built = true;
        }
        return command("run");
    }

    private static String command(String key) throws IOException {
        String line = Files.readAllLines(DEPLOY_FILE).stream().filter(each -> each.startsWith(key + " = \"")).findFirst()
                .orElseThrow();
        String quoted = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return quoted.replace("\\\"", "\"").replace("target/", FOLDER + "/");
    }

    private static void build() throws Exception {
        Path libraries = Files.createDirectories(FOLDER.resolve("lib"));
        StringBuilder classPath = new StringBuilder();
        for (String entry : System.getProperty("java.class.path").split(":")) {
            Path library = Path.of(entry);
            if (entry.matches(".*/(netty|jackson)-[^/]*\\.jar")) {
                Files.copy(library, libraries.resolve(library.getFileName()), StandardCopyOption.REPLACE_EXISTING);
                classPath.append("lib/").append(library.getFileName()).append(' ');
            }
        }
        writeJar(classPath.toString().strip());
        Files.deleteIfExists(FOLDER.resolve("mastdrift.jsa"));
        String build = command("build");
        if (!build.startsWith(PACKAGING)) {
            throw new IllegalStateException("the deploy file's build begins with " + PACKAGING);
        }
        Process archiving = new ProcessBuilder("/bin/sh", "-c", pathWithJava() + build.substring(PACKAGING.length()))
                .redirectErrorStream(true).redirectOutput(FOLDER.resolve("build.log").toFile()).start();
        if (archiving.waitFor() != 0 || !Files.exists(FOLDER.resolve("mastdrift.jsa"))) {
            throw new IllegalStateException("no archive of classes: " + Files.readString(FOLDER.resolve("build.log")));
        }
    }

    /** Puts the Java that runs the tests ahead on the path of a shell command. */
    static String pathWithJava() {
        return "export PATH=" + Path.of(System.getProperty("java.home"), "bin") + ":$PATH; ";
    }

    private static void writeJar(String classPath) throws IOException {
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.CLASS_PATH, classPath);
        try (OutputStream file = Files.newOutputStream(FOLDER.resolve("mastdrift.jar"));
                JarOutputStream jar = new JarOutputStream(file, manifest); Stream<Path> classes = Files.walk(CLASSES)) {
            List<Path> files = classes.filter(Files::isRegularFile).toList();
            for (Path each : files) {
                jar.putNextEntry(new JarEntry(CLASSES.relativize(each).toString()));
                Files.copy(each, jar);
                jar.closeEntry();
            }
        }
    }
}
