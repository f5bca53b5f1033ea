package mastdrift.net;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.stream.Stream;

/** Loads the program's own classes ahead of use and opens all archives of the class path: a class that is first needed
    while no descriptor is left fails to load, then and later. */
final class ClassPreloader {

    private static final String CLASS_SUFFIX = ".class";
    private static final String MISSING_RESOURCE = "mastdrift/none";

    private ClassPreloader() { }

    /** Loads all classes; ones that can't be loaded now are left to their first use. */
    static void load() {
        ClassLoader loader = ClassPreloader.class.getClassLoader();
        loader.getResource(MISSING_RESOURCE);  // the search opens all archives of the class path for good
        try {
            Path location = Path.of(ClassPreloader.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            for (String file : Files.isDirectory(location) ? filesInDirectory(location) : filesInArchive(location)) {
                if (file.endsWith(CLASS_SUFFIX)) {
                    Class.forName(file.substring(0, file.length() - CLASS_SUFFIX.length()).replace('/', '.'), false,
                            loader);
                }
            }
        } catch (IOException | URISyntaxException | ClassNotFoundException | LinkageError e) {
            return;  // not fatal: classes are then loaded at their first use
        }
    }

    private static List<String> filesInDirectory(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.map(file -> folder.relativize(file).toString()).toList();
        }
    }

    private static List<String> filesInArchive(Path archive) throws IOException {
        try (JarFile jar = new JarFile(archive.toFile())) {
            return jar.stream().map(JarEntry::getName).toList();
        }
    }
}
