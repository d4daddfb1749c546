package review;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Hundreds of changes of a configuration with many routes. The platform restarts each process that ends. */
final class ManyConfigurations {
    private static final int ROUTES = 1400;
    private static final int FEW_ROUTES = 14;
    private static final long GAP_MILLIS = 158;
    private static final int CHANGES = 480;
    private static final int ORDERS_IN_PROGRESS = 8;
    private static final long RESTART_DELAY_MILLIS = 500;
    private static final int ENDS = 3;

    private ManyConfigurations() {
    }

    static boolean isBroken(Path record, boolean hasTrouble) throws Exception {
        int routes = hasTrouble ? ROUTES : FEW_ROUTES;
        Map<String, Integer> ends = new ConcurrentSkipListMap<>();
        Map<Integer, Integer> statuses = new TreeMap<>();
        try (Fleet fleet = new Fleet(record, 3)) {
            fleet.platform().add(Behaviours.soundWorker("i-1"));
            fleet.start(Config.withRoutes(1, FEW_ROUTES));
            fleet.note("each configuration has " + routes + " routes and "
                + Config.withRoutes(2, routes).length() + " characters");
            for (Fleet.Vm vm : fleet.vms) keepRunning(fleet, vm, ends);
            ExecutorService operator = Executors.newCachedThreadPool();
            Semaphore orders = new Semaphore(ORDERS_IN_PROGRESS);
            long startedAt = System.nanoTime();
            for (int i = 0; i < CHANGES; i++) {
                long due = startedAt + TimeUnit.MILLISECONDS.toNanos(GAP_MILLIS * i);
                TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
                if (!orders.tryAcquire()) continue;
                long version = 2 + i;
                operator.execute(() -> {
                    int status = fleet.publish(fleet.vms.get((int) (version % 3)), Config.withRoutes(version, routes));
                    synchronized (statuses) {
                        statuses.merge(status, 1, Integer::sum);
                    }
                    if (version % 20 == 0) fleet.note("change " + version + " was answered " + status);
                    orders.release();
                });
            }
            operator.shutdown();
            operator.awaitTermination(8, TimeUnit.SECONDS);
            fleet.isClosing = true;
            fleet.note("answers to the changes by status (0: none): " + statuses);
            fleet.note("own ends of control processes: " + ends);
            for (Fleet.Vm vm : fleet.vms) fleet.noteLog(vm, "control", "event=failed");
        }
        long often = ends.values().stream().filter(count -> count >= ENDS).count();
        return often >= 2;
    }

    private static void keepRunning(Fleet fleet, Fleet.Vm vm, Map<String, Integer> ends) {
        vm.control.onExit().thenAccept(process -> {
            if (fleet.isClosing) return;
            ends.merge(vm.name, 1, Integer::sum);
            try {
                TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
                if (fleet.isClosing) return;
                fleet.startControl(vm);
                keepRunning(fleet, vm, ends);
            } catch (Exception e) {
                fleet.note("restart failed: " + e);
            }
        });
    }
}
