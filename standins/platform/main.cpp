#include "common/process.h"
#include "platform/platform_service.h"

int main(int argc, char **argv)
{
    using namespace chervilfield::standins;
    const Arguments arguments(argc, argv);
    boost::asio::io_context context;
    PlatformService service(context);
    return serve(arguments, context, [&service](auto &exchange, const auto &yield) {
        service.handle(exchange, yield);
    });
}
