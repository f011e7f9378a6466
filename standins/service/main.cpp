#include "common/process.h"
#include "service/order_service.h"

int main(int argc, char **argv)
{
    using namespace chervilfield::standins;
    const Arguments arguments(argc, argv);
    boost::asio::io_context context;
    OrderService service(context);
    return serve(arguments, context, [&service](auto &exchange, const auto &yield) {
        service.handle(exchange, yield);
    });
}
